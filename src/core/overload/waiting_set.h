#pragma once

#include "core/overload/id_table.h"
#include "core/overload/indexed_heap.h"
#include "tamarackridge/src/overload/admission_queue.h"

#include <cstdint>
#include <vector>

namespace tamarackridge::internal {

/// \brief A waiting entry and its links in the list ordered by arrival.
struct waiting_slot
{
    queue_entry entry;
    time_point arrivedAt;
    std::uint32_t earlier = id_table::absent;
    std::uint32_t later = id_table::absent;
};

/// \returns true when \a a is to run before \a b.
bool runsBefore(const queue_entry &a, const queue_entry &b);

/// \brief Orderings of slots; `slots` must outlive the object.
struct best_first
{
    const std::vector<waiting_slot> &slots;
    bool operator()(std::uint32_t a, std::uint32_t b) const
    {
        return runsBefore(slots[a].entry, slots[b].entry);
    }
};
struct worst_first
{
    const std::vector<waiting_slot> &slots;
    bool operator()(std::uint32_t a, std::uint32_t b) const
    {
        return runsBefore(slots[b].entry, slots[a].entry);
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

/// \brief The entries of an admission_queue, ordered by precedence (from both ends), deadline and
/// arrival. Storage is allocated up front.
class waiting_set
{
public:
    explicit waiting_set(std::uint32_t capacity);

    std::uint32_t size() const { return m_bestFirst.size(); }
    bool empty() const { return m_bestFirst.empty(); }
    bool full() const { return m_freeSlots.empty(); }
    bool contains(std::uint64_t id) const { return m_slotById.find(id) != id_table::absent; }

    const queue_entry &best() const { return m_slots[m_bestFirst.top()].entry; }
    const queue_entry &worst() const { return m_slots[m_worstFirst.top()].entry; }
    const queue_entry &earliestDeadline() const { return m_slots[m_byDeadline.top()].entry; }
    /// \returns the arrival time of the entry that has waited longest; the set must not be empty.
    time_point oldestArrival() const { return m_slots[m_oldest].arrivedAt; }

    /// \brief Adds an entry; the set must not be full and must not contain the id.
    void insert(const queue_entry &entry, time_point now);
    /// \returns false when \a id is not waiting.
    bool erase(std::uint64_t id);

private:
    void unlink(std::uint32_t slot);

    std::vector<waiting_slot> m_slots;
    std::vector<std::uint32_t> m_freeSlots;
    id_table m_slotById;
    indexed_heap<best_first> m_bestFirst;
    indexed_heap<worst_first> m_worstFirst;
    indexed_heap<deadline_first> m_byDeadline;
    std::uint32_t m_oldest = id_table::absent;
    std::uint32_t m_newest = id_table::absent;
};

} // namespace tamarackridge::internal
