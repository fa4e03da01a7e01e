#include "tamarackridge/src/routing/executor_health.h"

#include <algorithm>
#include <cmath>

namespace tamarackridge {

namespace {
constexpr float latencyWeight = 0.1F;
constexpr float failureWeight = 0.1F;
// A slow executor loses every comparison and would keep its old average for ever. While nothing is
// dispatched to it the average halves in this time, so that one request tries it again.
constexpr duration latencyHalfLife = std::chrono::seconds(5);
constexpr std::int64_t maxHalvings = 6;
constexpr double lowestSuccessShare = 0.05;
constexpr std::uint8_t maxDoublings = 10;
} // namespace

void executor_health::onDispatched(time_point now)
{
    if (m_inFlight == 0) {
        m_progressAt = now;
        // Only time in which an answer was due counts as silence.
        m_answeredAt += now - m_idleSince;
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
    m_answeredAt = now;
    m_streak = 0;
    m_ejected = false;
    m_ejections = 0;
    // Refusals are quick and say nothing about the time of a run.
    if (success) {
        const float sample = static_cast<float>(latency.count());
        m_latency = m_latency > 0 ? m_latency + latencyWeight * (sample - m_latency) : sample;
    }
}

bool executor_health::updateEjected(time_point now, const ejection_options &options)
{
    if (!m_ejected && m_inFlight >= options.failureStreak && silent(m_progressAt, now, options))
        eject(now, options);
    return m_ejected;
}

double executor_health::expectedDelay(duration linkDelay, double usualLatency, time_point now) const
{
    const double latency = currentLatency(usualLatency, now);
    const double places = std::max(m_load.limit, 1U);
    // The advertised load is out of date; the own requests in flight are not.
    const double ahead = m_load.limit == 0 ? 0.0 : m_load.inFlight + m_load.queued;
    const double run = latency * (1 + (ahead + m_inFlight) / places);
    const double link = 2 * static_cast<double>(linkDelay.count());
    return (link + run) / std::max<double>(1 - m_failureShare, lowestSuccessShare);
}

void executor_health::onFailure(bool answerless, time_point now, const ejection_options &options)
{
    ++m_streak;
    // Dispatches from before the ejection that fail now say nothing new; the probe does.
    const bool probeFailed = m_ejected && now >= m_ejectedUntil;
    // Under overload, streaks of timeouts occur among answers, at every server of a service at
    // once; to eject them all would lose what they still serve.
    const bool streak = m_streak >= options.failureStreak
                        && (!answerless || silent(m_answeredAt, now, options));
    if (probeFailed || (!m_ejected && streak))
        eject(now, options);
}

bool executor_health::silent(time_point since, time_point now,
                             const ejection_options &options) const
{
    const duration average(static_cast<std::int64_t>(m_latency));
    return now - since > std::max(options.stallTime, 4 * average);
}

void executor_health::eject(time_point now, const ejection_options &options)
{
    m_ejected = true;
    m_ejectedUntil =
            now + std::min<duration>(options.firstTime * (1LL << m_ejections), options.maxTime);
    m_ejections = std::min<std::uint8_t>(m_ejections + 1, maxDoublings);
    m_streak = 0;
}

double executor_health::currentLatency(double usualLatency, time_point now) const
{
    if (!idle())
        return m_latency > 0 ? m_latency : usualLatency;
    const std::int64_t halvings = (now - m_progressAt) / latencyHalfLife;
    return std::ldexp(m_latency,
                      -static_cast<int>(std::clamp<std::int64_t>(halvings, 0, maxHalvings)));
}

} // namespace tamarackridge
