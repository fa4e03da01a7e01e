#include "tamarackridge/src/overload/service_time_estimator.h"

#include <algorithm>

namespace tamarackridge {

namespace {
// With downward steps nine times the upward steps, the estimate settles where one run in ten is
// faster.
constexpr std::int64_t upStepDivisor = 64;
constexpr std::int64_t downStepFactor = 9;
constexpr duration halfLife = std::chrono::seconds(1);
constexpr std::int64_t maxHalvings = 62;
} // namespace

void service_time_estimator::observe(duration latency, time_point now)
{
    const duration present = estimate(now);
    const duration step = present / upStepDivisor + duration(1);
    if (present == duration::zero())
        m_estimate = latency;
    else if (latency > present)
        m_estimate = std::min(latency, present + step);
    else
        m_estimate = std::max(latency, present - downStepFactor * step);
    m_observedAt = now;
}

duration service_time_estimator::estimate(time_point now) const
{
    const std::int64_t halvings = std::max<std::int64_t>(0, (now - m_observedAt) / halfLife);
    return duration(m_estimate.count() >> std::min(halvings, maxHalvings));
}

} // namespace tamarackridge
