#include "tamarackridge/src/overload/admission_queue.h"

#include "core/overload/waiting_set.h"

#include <algorithm>

namespace tamarackridge {

admission_queue::admission_queue(const admission_queue_options &options)
    : m_options(options)
    , m_waiting(std::make_unique<internal::waiting_set>(std::max(options.capacity, 1U)))
    , m_shedControl(options.shed)
{
    m_dropped.reserve(m_options.capacity);
}

admission_queue::~admission_queue() = default;

admission_result admission_queue::enqueue(const queue_entry &entry, time_point now)
{
    dropUnreachableDeadlines(now);
    observeDelay(now);
    m_shedControl.onArrival(entry.rank);
    if (entry.deadline <= now + m_serviceTime.estimate(now))
        return {admission::refused, 0, true};
    if (entry.rank < m_shedControl.threshold() || m_waiting->contains(entry.id))
        return {};
    if (!m_waiting->full() && m_waiting->size() < allowedLength(now)) {
        m_waiting->insert(entry, now);
        return {admission::admitted};
    }
    const queue_entry worst = m_waiting->worst();
    if (!internal::runsBefore(entry, worst))
        return {};
    m_waiting->erase(worst.id);
    m_waiting->insert(entry, now);
    return {admission::admitted_evicting, worst.id};
}

std::optional<std::uint64_t> admission_queue::popReady(time_point now)
{
    dropUnreachableDeadlines(now);
    std::optional<std::uint64_t> next;
    if (!m_waiting->empty()) {
        next = m_waiting->best().id;
        m_waiting->erase(*next);
        m_shedControl.onRun();
    }
    observeDelay(now);
    return next;
}

void admission_queue::takeExpired(time_point now, std::vector<std::uint64_t> &out)
{
    dropUnreachableDeadlines(now);
    out.insert(out.end(), m_dropped.begin(), m_dropped.end());
    m_dropped.clear();
}

bool admission_queue::remove(std::uint64_t id)
{
    return m_waiting->erase(id);
}

std::uint8_t admission_queue::shedThreshold(time_point now)
{
    observeDelay(now);
    return m_shedControl.threshold();
}

std::uint32_t admission_queue::size() const
{
    return m_waiting->size();
}

void admission_queue::dropUnreachableDeadlines(time_point now)
{
    const time_point earliestEnd = now + m_serviceTime.estimate(now);
    while (!m_waiting->empty() && m_waiting->earliestDeadline().deadline <= earliestEnd) {
        m_dropped.push_back(m_waiting->earliestDeadline().id);
        m_waiting->erase(m_dropped.back());
    }
}

void admission_queue::observeDelay(time_point now)
{
    const duration delay = m_waiting->empty() ? duration::zero() : now - m_waiting->oldestArrival();
    // The target delay is at least half a service time: with runs of a second, a wait of 20 ms is
    // not a sign of overload.
    m_shedControl.observeDelay(delay, m_serviceTime.estimate(now) / 2, now);
}

std::uint32_t admission_queue::allowedLength(time_point now) const
{
    if (!m_shedControl.hasStandingQueue())
        return m_options.capacity;
    const duration maxWait = std::max(m_options.maxQueueDelay, m_serviceTime.estimate(now));
    const double intervals = std::chrono::duration<double>(maxWait) / m_options.shed.interval;
    const double length = m_shedControl.runsPerInterval() * intervals;
    return std::max(static_cast<std::uint32_t>(length), m_options.minLength);
}

} // namespace tamarackridge
