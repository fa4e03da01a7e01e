#include "tamarackridge/src/overload/admission_queue.h"

#include <algorithm>

namespace tamarackridge {

admission_queue::admission_queue(const admission_queue_options &options)
    : m_options(options)
{
    m_waiting.reserve(options.capacity + 1);
}

admission_result admission_queue::enqueue(const queue_entry &entry, time_point now)
{
    if (entry.deadline <= now || entry.rank < m_threshold)
        return {};
    const auto before = [](const waiting &a, const waiting &b) {
        return a.entry.rank != b.entry.rank ? a.entry.rank > b.entry.rank
                                            : a.entry.chainStart < b.entry.chainStart;
    };
    const waiting item{entry, now};
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), item, before), item);
    if (m_waiting.size() <= m_options.capacity)
        return {admission::admitted, 0};
    const std::uint64_t worst = m_waiting.back().entry.id;
    m_waiting.pop_back();
    if (worst == entry.id)
        return {};
    return {admission::admitted_evicting, worst};
}

std::optional<std::uint64_t> admission_queue::popReady(time_point)
{
    if (m_waiting.empty())
        return std::nullopt;
    const std::uint64_t id = m_waiting.front().entry.id;
    m_waiting.erase(m_waiting.begin());
    return id;
}

void admission_queue::takeExpired(time_point now, std::vector<std::uint64_t> &out)
{
    std::erase_if(m_waiting, [&](const waiting &item) {
        if (item.entry.deadline > now)
            return false;
        out.push_back(item.entry.id);
        return true;
    });
}

bool admission_queue::remove(std::uint64_t id)
{
    return std::erase_if(m_waiting, [id](const waiting &item) { return item.entry.id == id; }) > 0;
}

void admission_queue::observeServiceTime(duration, time_point) { }

std::uint8_t admission_queue::shedThreshold(time_point)
{
    return m_threshold;
}

std::uint32_t admission_queue::size() const
{
    return static_cast<std::uint32_t>(m_waiting.size());
}

} // namespace tamarackridge
