#include "tamarackridge/src/overload/concurrency_limit.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarackridge {

namespace {
// Up to this share, timeouts and overload responses are attributed to single requests.
constexpr double maxFailureShare = 0.05;
constexpr double minDecreaseFactor = 0.5;
constexpr double rampFactor = 2;
// Factor of the smallest step of a check; the effect of a smaller step would be lost in the noise
// of the latencies.
constexpr double maxCheckFactor = 0.7;
// Weight of the newest window in the average that a falling baseline follows.
constexpr double newWindowWeight = 0.1;
// Elasticity is 1 where latency is proportional to concurrency, 0 where it is independent of it.
constexpr double minQueueingElasticity = 0.5;
constexpr double maxInFlightRatio = 0.9;
constexpr double saturatedShare = 0.8;
// Minimum number of windows from one check to the next. A window at a reduced limit costs
// throughput; this keeps the loss at about one percent.
constexpr int minWindowsBetweenChecks = 30;
constexpr std::uint32_t minSamples = 20;
constexpr std::uint32_t maxSamples = 100;
} // namespace

concurrency_limit::concurrency_limit(const concurrency_limit_options &options)
    : m_options(options)
    , m_limit(options.initialLimit)
{ }

bool concurrency_limit::tryAcquire()
{
    const std::uint32_t bound = limit();
    m_limitReached = m_limitReached || m_inFlight + 1 >= bound;
    if (m_inFlight >= bound)
        return false;
    ++m_inFlight;
    return true;
}

void concurrency_limit::release(time_point now, duration latency, run_outcome outcome)
{
    const std::uint32_t inFlight = m_inFlight;
    if (m_inFlight > 0)
        --m_inFlight;
    if (now - latency >= m_sampleRunsFrom) {
        if (outcome == run_outcome::success)
            m_window.addSuccess(latency, inFlight);
        else if (m_options.adaptive
                 && (outcome == run_outcome::timeout || outcome == run_outcome::overloaded))
            m_window.addFailure();
    }
    if (windowComplete(now))
        closeWindow(now);
}

void concurrency_limit::restart(time_point now, std::uint32_t slots)
{
    m_slots = slots;
    m_phase = phase::ramp;
    m_baseline = 0;
    m_sampleRunsFrom = now;
    m_window.reset(now);
    setLimit(m_options.initialLimit);
}

std::uint32_t concurrency_limit::limit() const
{
    // Rounding down would cost a server with few slots a large share of them in every check.
    const std::uint32_t measuredLimit = static_cast<std::uint32_t>(std::lround(m_limit));
    return std::max(m_slotHint > 0 ? std::min(measuredLimit, m_slotHint) : measuredLimit,
                    m_options.minLimit);
}

bool concurrency_limit::windowComplete(time_point now) const
{
    const duration age = now - m_window.start();
    const std::uint32_t ended = m_window.ended();
    // After maxWindow, one timeout or refusal is enough to close the window; slow successes are
    // collected until there are enough of them.
    if (age >= m_options.maxWindow)
        return ended >= minSamples || m_window.successes() < ended;
    return age >= m_options.minWindow && ended >= std::clamp(limit(), minSamples, maxSamples);
}

void concurrency_limit::closeWindow(time_point now)
{
    static constexpr std::array<window_handler, 3> handlers{
            &concurrency_limit::onRampWindow, &concurrency_limit::onSteadyWindow,
            &concurrency_limit::onBaselineCheckWindow};
    if (m_window.ended() > 0 && m_window.failureShare() > maxFailureShare) {
        setLimit(m_limit * std::max(minDecreaseFactor, 1 - m_window.failureShare()));
        m_phase = phase::steady;
        m_sampleRunsFrom = now;
    } else if (m_window.successes() >= minSamples) {
        (this->*handlers.at(static_cast<std::size_t>(m_phase)))(m_window.mean(), now);
    }
    m_window.reset(now);
    m_limitReached = m_inFlight >= limit();
}

void concurrency_limit::onRampWindow(const latency_point &point, time_point now)
{
    lowerBaseline(point);
    if (m_options.adaptive && point.latency > m_options.tolerance * m_baseline) {
        beginBaselineCheck(point, now);
    } else if (m_limit >= upperBound()) {
        m_phase = phase::steady;
    } else if (m_limitReached) {
        raiseLimit(m_limit * (rampFactor - 1));
        m_sampleRunsFrom = now;
    }
}

void concurrency_limit::onSteadyWindow(const latency_point &point, time_point now)
{
    lowerBaseline(point);
    const bool high = point.latency > m_options.tolerance * m_baseline;
    // A short burst that reaches the limit is not queueing; a check would only delay its requests.
    const bool saturated = point.inFlight > saturatedShare * m_limit;
    if (m_options.adaptive && (high || (saturated && now >= m_nextCheck)))
        beginBaselineCheck(point, now);
    else if (m_limitReached)
        raiseLimit(std::max(1.0, std::sqrt(m_limit) / 2));
}

void concurrency_limit::onBaselineCheckWindow(const latency_point &point, time_point now)
{
    const bool comparable = point.inFlight < maxInFlightRatio * m_pointBeforeStep.inFlight;
    const bool atMinLimit = limit() <= m_options.minLimit;
    if (!comparable && !atMinLimit) {
        setLimit(m_limit * maxCheckFactor);
        m_sampleRunsFrom = now;
        return;
    }
    const double elasticity = std::log(m_pointBeforeStep.latency / point.latency)
                              / std::log(m_pointBeforeStep.inFlight / point.inFlight);
    if (!comparable || elasticity < minQueueingElasticity) {
        m_baseline = point.latency;
        setLimit(std::max(m_limit, m_limitBeforeStep));
        endBaselineCheck(now);
        return;
    }
    m_baseline = std::min(m_baseline, point.latency);
    const bool stillHigh = point.latency > m_options.tolerance * m_baseline;
    if (!atMinLimit && (stillHigh || m_checkUntilFlat)) {
        lowerLimitForCheck(point, now);
        return;
    }
    // The step had to be large enough for the measurement, which is more than is needed to remove
    // the queue; the limit is therefore set between the two values.
    setLimit(std::sqrt(m_limit * m_limitBeforeStep));
    endBaselineCheck(now);
}

void concurrency_limit::lowerBaseline(const latency_point &point)
{
    // The baseline falls by an average: a minimum would follow the noise of small windows, whereas
    // an average still follows e.g. caches that warm up.
    if (m_baseline <= 0)
        m_baseline = point.latency;
    else if (point.latency < m_baseline)
        m_baseline += newWindowWeight * (point.latency - m_baseline);
}

void concurrency_limit::beginBaselineCheck(const latency_point &point, time_point now)
{
    m_phase = phase::baseline_check;
    m_checkUntilFlat = now >= m_nextCheck;
    lowerLimitForCheck(point, now);
}

void concurrency_limit::lowerLimitForCheck(const latency_point &point, time_point now)
{
    m_pointBeforeStep = point;
    m_limitBeforeStep = m_limit;
    const double step = std::clamp(m_baseline / point.latency, minDecreaseFactor, maxCheckFactor);
    setLimit(std::min(m_limit, point.inFlight) * step);
    m_sampleRunsFrom = now;
}

void concurrency_limit::endBaselineCheck(time_point now)
{
    // A check that stopped early has not measured the latency without queueing.
    if (m_checkUntilFlat)
        m_nextCheck = now
                      + std::max(m_options.baselineCheckInterval,
                                 minWindowsBetweenChecks * (now - m_window.start()));
    m_phase = phase::steady;
    m_sampleRunsFrom = now;
}

double concurrency_limit::upperBound() const
{
    if (m_slots == 0)
        return m_options.maxLimit;
    return std::min<double>(m_options.usableSlotFraction * m_slots, m_options.maxLimit);
}

void concurrency_limit::setLimit(double limit)
{
    m_limit = std::clamp<double>(limit, m_options.minLimit, std::max<double>(upperBound(), 1));
}

void concurrency_limit::raiseLimit(double step)
{
    // While the slot hint caps the limit, the measured value is not in use and must not grow.
    if (m_slotHint == 0 || m_limit < m_slotHint)
        setLimit(m_limit + step);
}

} // namespace tamarackridge
