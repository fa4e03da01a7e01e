#include "tamarackridge/src/overload/shed_control.h"

#include <algorithm>

namespace tamarackridge {

namespace {
constexpr double runRateWeight = 0.3; // Weight of the newest interval in the average.
} // namespace

shed_control::shed_control(const shed_control_options &options)
    : m_options(options)
{ }

void shed_control::onArrival(std::uint8_t rank)
{
    ++m_arrivals[rank];
    m_seenRanks.set(rank);
}

void shed_control::observeDelay(duration delay, duration minTargetDelay, time_point now)
{
    if (!m_started) {
        m_started = true;
        m_intervalEnd = now + m_options.interval;
    }
    m_minDelay = std::min(m_minDelay, delay);
    // After a long pause, closing as many intervals as there are ranks lowers the threshold to 0.
    const time_point oldest = now - static_cast<int>(m_arrivals.size()) * m_options.interval;
    m_intervalEnd = std::max(m_intervalEnd, oldest);
    while (now >= m_intervalEnd) {
        closeInterval(minTargetDelay);
        m_minDelay = delay;
        m_intervalEnd += m_options.interval;
    }
}

void shed_control::closeInterval(duration minTargetDelay)
{
    m_runRate += runRateWeight * (m_runs - m_runRate);
    m_standingQueue = m_minDelay > std::max(m_options.targetDelay, minTargetDelay);
    if (m_standingQueue)
        raiseThreshold();
    else
        lowerThreshold();
    m_runs = 0;
    m_arrivals.fill(0);
}

void shed_control::raiseThreshold()
{
    const std::uint32_t needed = std::max<std::uint32_t>(m_runs, 1);
    std::uint32_t arrived = 0;
    std::size_t step = m_threshold;
    // Finds the lowest rank above the threshold that can become the new threshold: the ranks from
    // there up must arrive at least as fast as requests are run.
    for (std::size_t rank = m_arrivals.size() - 1; rank > m_threshold; --rank) {
        arrived += m_arrivals[rank];
        if (arrived >= needed && m_arrivals[rank] > 0)
            step = rank;
    }
    m_threshold = static_cast<std::uint8_t>(step);
}

void shed_control::lowerThreshold()
{
    while (m_threshold > 0) {
        --m_threshold;
        if (m_seenRanks.test(m_threshold))
            return;
    }
}

} // namespace tamarackridge
