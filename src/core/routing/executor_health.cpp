#include "tamarackridge/src/routing/executor_health.h"

#include <algorithm>
#include <cmath>

namespace tamarackridge {

namespace {
constexpr float latencyWeight = 0.1F;
constexpr float failureWeight = 0.1F;
// A slow executor is never chosen, so its average would never be updated. While nothing is
// dispatched to it, the average halves in this time, so that eventually a request is sent to it.
constexpr duration latencyHalfLife = std::chrono::seconds(5);
constexpr std::int64_t maxHalvings = 6;
constexpr double minSuccessShare = 0.05;
constexpr std::uint8_t maxDoublings = 10;
} // namespace

void executor_health::onDispatched(time_point now)
{
    if (m_inFlight == 0) {
        m_progressAt = now;
        // Only the time during which a response was pending counts as time without a response.
        m_respondedAt += now - m_idleSince;
    }
    ++m_inFlight;
}

void executor_health::onResponse(duration latency, run_outcome outcome, time_point now,
                                 const ejection_options &options)
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (m_inFlight == 0)
        m_idleSince = now;
    if (outcome == run_outcome::cancelled)
        return;
    const bool success = outcome == run_outcome::success;
    m_failureShare += failureWeight * ((success ? 0.0F : 1.0F) - m_failureShare);
    if (outcome == run_outcome::timeout || outcome == run_outcome::failed) {
        onFailure(outcome == run_outcome::timeout, now, options);
        return;
    }
    m_progressAt = now;
    m_respondedAt = now;
    m_failureStreak = 0;
    m_ejected = false;
    m_ejections = 0;
    // Refusals are fast and say nothing about the duration of a run.
    if (success) {
        const float sample = static_cast<float>(latency.count());
        m_latency = m_latency > 0 ? m_latency + latencyWeight * (sample - m_latency) : sample;
    }
}

bool executor_health::updateEjected(time_point now, const ejection_options &options)
{
    if (!m_ejected && m_inFlight >= options.failureStreak
        && exceedsStallTimeout(m_progressAt, now, options))
        eject(now, options);
    return m_ejected;
}

double executor_health::expectedDelay(duration linkDelay, double averageLatency,
                                      time_point now) const
{
    const double latency = currentLatency(averageLatency, now);
    const double places = std::max(m_load.limit, 1U);
    // The advertised load may be outdated; this node's own requests in flight are exact.
    const double ahead = m_load.limit == 0 ? 0.0 : m_load.inFlight + m_load.queued;
    const double run = latency * (1 + (ahead + m_inFlight) / places);
    const double link = 2 * static_cast<double>(linkDelay.count());
    return (link + run) / std::max<double>(1 - m_failureShare, minSuccessShare);
}

void executor_health::onFailure(bool timedOut, time_point now, const ejection_options &options)
{
    ++m_failureStreak;
    // Failures of dispatches that were sent before the ejection are no new evidence; a failed probe
    // is.
    const bool probeFailed = m_ejected && now >= m_ejectedUntil;
    // Under overload, streaks of timeouts occur between responses, on all servers of a service at
    // once. Ejecting all of them would lose the requests that they can still serve.
    const bool streak = m_failureStreak >= options.failureStreak
                        && (!timedOut || exceedsStallTimeout(m_respondedAt, now, options));
    if (probeFailed || (!m_ejected && streak))
        eject(now, options);
}

bool executor_health::exceedsStallTimeout(time_point since, time_point now,
                                          const ejection_options &options) const
{
    const duration average(static_cast<std::int64_t>(m_latency));
    return now - since > std::max(options.stallTimeout, 4 * average);
}

void executor_health::eject(time_point now, const ejection_options &options)
{
    m_ejected = true;
    m_ejectedUntil = now
                     + std::min<duration>(options.initialEjectionPeriod * (1LL << m_ejections),
                                          options.maxEjectionPeriod);
    m_ejections = std::min<std::uint8_t>(m_ejections + 1, maxDoublings);
    m_failureStreak = 0;
}

double executor_health::currentLatency(double averageLatency, time_point now) const
{
    if (!idle())
        return m_latency > 0 ? m_latency : averageLatency;
    const std::int64_t halvings = (now - m_progressAt) / latencyHalfLife;
    return std::ldexp(m_latency,
                      -static_cast<int>(std::clamp<std::int64_t>(halvings, 0, maxHalvings)));
}

} // namespace tamarackridge
