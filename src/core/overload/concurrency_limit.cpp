#include "tamarackridge/src/overload/concurrency_limit.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarackridge {

namespace {
// Below this share, timeouts and overload answers are taken as faults of single requests.
constexpr double toleratedBadShare = 0.05;
constexpr double maxDecrease = 0.5;
constexpr double rampFactor = 2;
// A smaller step would drown in the noise of the latencies.
constexpr double smallestCheckStep = 0.7;
// Share of the newest window in a falling baseline.
constexpr double baselineWeight = 0.1;
// Latency in proportion to concurrency has elasticity 1, latency independent of it 0.
constexpr double queueingElasticity = 0.5;
constexpr double comparableInFlight = 0.9;
constexpr double saturatedShare = 0.8;
// A window at a reduced limit costs throughput; this keeps the loss to about one percent.
constexpr int windowsPerCheck = 30;
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
    m_used = m_used || m_inFlight + 1 >= bound;
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
    if (now - latency >= m_learnFrom) {
        if (outcome == run_outcome::success)
            m_window.addSuccess(latency, inFlight);
        else if (m_options.adaptive
                 && (outcome == run_outcome::timeout || outcome == run_outcome::overloaded))
            m_window.addBad();
    }
    if (windowComplete(now))
        closeWindow(now);
}

void concurrency_limit::restart(time_point now, std::uint32_t slots)
{
    m_slots = slots;
    m_phase = phase::ramp;
    m_baseline = 0;
    m_learnFrom = now;
    m_window.reset(now);
    setLimit(m_options.initialLimit);
}

std::uint32_t concurrency_limit::limit() const
{
    // Rounding down would cost a server of few slots a large share of them in every check.
    const std::uint32_t learned = static_cast<std::uint32_t>(std::lround(m_limit));
    return std::max(m_hint > 0 ? std::min(learned, m_hint) : learned, m_options.minLimit);
}

bool concurrency_limit::windowComplete(time_point now) const
{
    const duration age = now - m_window.start();
    const std::uint32_t ended = m_window.ended();
    // Timeouts close a window early; slow successes are waited for until they are enough.
    if (age >= m_options.maxWindow)
        return ended >= minSamples || m_window.successes() < ended;
    return age >= m_options.minWindow && ended >= std::clamp(limit(), minSamples, maxSamples);
}

void concurrency_limit::closeWindow(time_point now)
{
    static constexpr std::array<window_handler, 3> handlers{&concurrency_limit::onRampWindow,
                                                            &concurrency_limit::onSteadyWindow,
                                                            &concurrency_limit::onCheckWindow};
    if (m_window.ended() > 0 && m_window.badShare() > toleratedBadShare) {
        setLimit(m_limit * std::max(maxDecrease, 1 - m_window.badShare()));
        m_phase = phase::steady;
        m_learnFrom = now;
    } else if (m_window.successes() >= minSamples) {
        (this->*handlers.at(static_cast<std::size_t>(m_phase)))(m_window.mean(), now);
    }
    m_window.reset(now);
    m_used = m_inFlight >= limit();
}

void concurrency_limit::onRampWindow(const latency_point &point, time_point now)
{
    followDown(point);
    if (m_options.adaptive && point.latency > m_options.tolerance * m_baseline) {
        beginCheck(point, now);
    } else if (m_limit >= ceiling()) {
        m_phase = phase::steady;
    } else if (m_used) {
        grow(m_limit * (rampFactor - 1));
        m_learnFrom = now;
    }
}

void concurrency_limit::onSteadyWindow(const latency_point &point, time_point now)
{
    followDown(point);
    const bool high = point.latency > m_options.tolerance * m_baseline;
    // A burst that touches the limit is no queue; a check would only delay its requests.
    const bool saturated = point.inFlight > saturatedShare * m_limit;
    if (m_options.adaptive && (high || (saturated && now >= m_nextCheck)))
        beginCheck(point, now);
    else if (m_used)
        grow(std::max(1.0, std::sqrt(m_limit) / 2));
}

void concurrency_limit::onCheckWindow(const latency_point &point, time_point now)
{
    const bool comparable = point.inFlight < comparableInFlight * m_before.inFlight;
    const bool lowest = limit() <= m_options.minLimit;
    if (!comparable && !lowest) {
        setLimit(m_limit * smallestCheckStep);
        m_learnFrom = now;
        return;
    }
    const double elasticity = std::log(m_before.latency / point.latency)
                              / std::log(m_before.inFlight / point.inFlight);
    if (!comparable || elasticity < queueingElasticity) {
        m_baseline = point.latency;
        setLimit(std::max(m_limit, m_limitBefore));
        endCheck(now);
        return;
    }
    m_baseline = std::min(m_baseline, point.latency);
    const bool stillHigh = point.latency > m_options.tolerance * m_baseline;
    if (!lowest && (stillHigh || m_untilFlat)) {
        stepDown(point, now);
        return;
    }
    // The step was as large as the measurement needs, which is more than the queue needs.
    setLimit(std::sqrt(m_limit * m_limitBefore));
    endCheck(now);
}

void concurrency_limit::followDown(const latency_point &point)
{
    // The minimum would follow the noise of small windows; an average also follows warming caches.
    if (m_baseline <= 0)
        m_baseline = point.latency;
    else if (point.latency < m_baseline)
        m_baseline += baselineWeight * (point.latency - m_baseline);
}

void concurrency_limit::beginCheck(const latency_point &point, time_point now)
{
    m_phase = phase::check;
    m_untilFlat = now >= m_nextCheck;
    stepDown(point, now);
}

void concurrency_limit::stepDown(const latency_point &point, time_point now)
{
    m_before = point;
    m_limitBefore = m_limit;
    const double step = std::clamp(m_baseline / point.latency, maxDecrease, smallestCheckStep);
    setLimit(std::min(m_limit, point.inFlight) * step);
    m_learnFrom = now;
}

void concurrency_limit::endCheck(time_point now)
{
    // A check that stopped early has not seen the latency without queueing.
    if (m_untilFlat)
        m_nextCheck =
                now + std::max(m_options.checkPeriod, windowsPerCheck * (now - m_window.start()));
    m_phase = phase::steady;
    m_learnFrom = now;
}

double concurrency_limit::ceiling() const
{
    if (m_slots == 0)
        return m_options.maxLimit;
    return std::min<double>(m_options.usableSlotFraction * m_slots, m_options.maxLimit);
}

void concurrency_limit::setLimit(double limit)
{
    m_limit = std::clamp<double>(limit, m_options.minLimit, std::max<double>(ceiling(), 1));
}

void concurrency_limit::grow(double step)
{
    // While a hint holds the limit down, the learned value is not being used.
    if (m_hint == 0 || m_limit < m_hint)
        setLimit(m_limit + step);
}

} // namespace tamarackridge
