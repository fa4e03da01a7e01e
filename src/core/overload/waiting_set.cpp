#include "core/overload/waiting_set.h"

#include <numeric>

namespace tamarackridge::internal {

bool runsBefore(const queue_entry &a, const queue_entry &b)
{
    if (a.rank != b.rank)
        return a.rank > b.rank;
    if (a.chainStart != b.chainStart)
        return a.chainStart < b.chainStart;
    return a.id < b.id;
}

waiting_set::waiting_set(std::uint32_t capacity)
    : m_slots(capacity)
    , m_freeSlots(capacity)
    , m_slotById(capacity)
    , m_bestFirst(capacity, {m_slots})
    , m_worstFirst(capacity, {m_slots})
    , m_byDeadline(capacity, {m_slots})
{
    std::iota(m_freeSlots.begin(), m_freeSlots.end(), 0U);
}

void waiting_set::insert(const queue_entry &entry, time_point now)
{
    const std::uint32_t slot = m_freeSlots.back();
    m_freeSlots.pop_back();
    m_slots[slot] = {entry, now, m_newest, id_table::absent};
    if (m_newest == id_table::absent)
        m_oldest = slot;
    else
        m_slots[m_newest].later = slot;
    m_newest = slot;
    m_slotById.insert(entry.id, slot);
    m_bestFirst.push(slot);
    m_worstFirst.push(slot);
    m_byDeadline.push(slot);
}

bool waiting_set::erase(std::uint64_t id)
{
    const std::uint32_t slot = m_slotById.find(id);
    if (slot == id_table::absent)
        return false;
    m_slotById.erase(id);
    m_bestFirst.erase(slot);
    m_worstFirst.erase(slot);
    m_byDeadline.erase(slot);
    unlink(slot);
    m_freeSlots.push_back(slot);
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
