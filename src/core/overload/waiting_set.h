#pragma once

#include "core/overload/id_table.h"
#include "core/overload/indexed_heap.h"
#include "tamarackridge/src/overload/admission_queue.h"

#include <cstdint>
#include <vector>

namespace tamarackridge::internal {

/// \brief A waiting entry with its place in the list by arrival.
struct waiting_slot
{
    queue_entry entry;
    time_point since;
    std::uint32_t earlier = id_table::absent;
    std::uint32_t later = id_table::absent;
};

/// \returns true when \a a runs before \a b.
bool moreImportant(const queue_entry &a, const queue_entry &b);

/// \brief Orders of slots; \a slots outlives the object.
struct best_first
{
    const std::vector<waiting_slot> &slots;
    bool operator()(std::uint32_t a, std::uint32_t b) const
    {
        return moreImportant(slots[a].entry, slots[b].entry);
    }
};
struct worst_first
{
    const std::vector<waiting_slot> &slots;
    bool operator()(std::uint32_t a, std::uint32_t b) const
    {
        return moreImportant(slots[b].entry, slots[a].entry);
    }
};
struct deadline_first
{
    const std::vector<waiting_slot> &slots;
    bool operator()(std::uint32_t a, std::uint32_t b) const
    {
        return slots[a].entry.deadline < slots[b].entry.deadline;
    }
};

/// \brief The entries of an admission_queue in four orders, in storage allocated once.
class waiting_set
{
public:
    explicit waiting_set(std::uint32_t capacity);

    std::uint32_t size() const { return m_best.size(); }
    bool empty() const { return m_best.empty(); }
    bool full() const { return m_free.empty(); }
    bool contains(std::uint64_t id) const { return m_ids.find(id) != id_table::absent; }

    const queue_entry &best() const { return m_slots[m_best.top()].entry; }
    const queue_entry &worst() const { return m_slots[m_worst.top()].entry; }
    const queue_entry &firstDeadline() const { return m_slots[m_deadline.top()].entry; }
    /// \returns when the entry arrived that waits longest; the set must not be empty.
    time_point oldestArrival() const { return m_slots[m_oldest].since; }

    /// \brief Adds an entry; the set must not be full and must not contain the id.
    void insert(const queue_entry &entry, time_point now);
    /// \returns false when \a id is not waiting.
    bool erase(std::uint64_t id);

private:
    void unlink(std::uint32_t slot);

    std::vector<waiting_slot> m_slots;
    std::vector<std::uint32_t> m_free;
    id_table m_ids;
    indexed_heap<best_first> m_best;
    indexed_heap<worst_first> m_worst;
    indexed_heap<deadline_first> m_deadline;
    std::uint32_t m_oldest = id_table::absent;
    std::uint32_t m_newest = id_table::absent;
};

} // namespace tamarackridge::internal
