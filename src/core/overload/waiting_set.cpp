#include "core/overload/waiting_set.h"

#include <numeric>

namespace tamarackridge::internal {

bool moreImportant(const queue_entry &a, const queue_entry &b)
{
    if (a.rank != b.rank)
        return a.rank > b.rank;
    if (a.chainStart != b.chainStart)
        return a.chainStart < b.chainStart;
    return a.id < b.id;
}

waiting_set::waiting_set(std::uint32_t capacity)
    : m_slots(capacity)
    , m_free(capacity)
    , m_ids(capacity)
    , m_best(capacity, {m_slots})
    , m_worst(capacity, {m_slots})
    , m_deadline(capacity, {m_slots})
{
    std::iota(m_free.begin(), m_free.end(), 0U);
}

void waiting_set::insert(const queue_entry &entry, time_point now)
{
    const std::uint32_t slot = m_free.back();
    m_free.pop_back();
    m_slots[slot] = {entry, now, m_newest, id_table::absent};
    if (m_newest == id_table::absent)
        m_oldest = slot;
    else
        m_slots[m_newest].later = slot;
    m_newest = slot;
    m_ids.insert(entry.id, slot);
    m_best.push(slot);
    m_worst.push(slot);
    m_deadline.push(slot);
}

bool waiting_set::erase(std::uint64_t id)
{
    const std::uint32_t slot = m_ids.find(id);
    if (slot == id_table::absent)
        return false;
    m_ids.erase(id);
    m_best.erase(slot);
    m_worst.erase(slot);
    m_deadline.erase(slot);
    unlink(slot);
    m_free.push_back(slot);
    return true;
}

void waiting_set::unlink(std::uint32_t slot)
{
    const waiting_slot &item = m_slots[slot];
    if (item.earlier == id_table::absent)
        m_oldest = item.later;
    else
        m_slots[item.earlier].later = item.later;
    if (item.later == id_table::absent)
        m_newest = item.earlier;
    else
        m_slots[item.later].earlier = item.earlier;
}

} // namespace tamarackridge::internal
