#include "tamarackridge/src/overload/retry_budget.h"

#include <algorithm>

namespace tamarackridge {

namespace {
constexpr std::int64_t partsPerRetry = 1'000'000'000;
} // namespace

retry_budget::retry_budget(const retry_budget_options &options)
    : m_options(options)
    , m_parts(options.floorPerSecond * partsPerRetry)
{ }

void retry_budget::onFirstAttempt(time_point now)
{
    refill(now);
    add(m_options.sharePercent * (partsPerRetry / 100));
}

bool retry_budget::canRetry(time_point now)
{
    refill(now);
    return m_parts >= partsPerRetry;
}

bool retry_budget::tryRetry(time_point now)
{
    if (!canRetry(now))
        return false;
    m_parts -= partsPerRetry;
    return true;
}

void retry_budget::refill(time_point now)
{
    if (m_started && now > m_refilledAt) {
        // A longer pause could only fill the budget to its bound, and would overflow the product.
        const duration passed = std::min<duration>(now - m_refilledAt, std::chrono::hours(1));
        add(passed.count() * m_options.floorPerSecond); // One part per nanosecond and retry.
    }
    m_refilledAt = m_started ? std::max(m_refilledAt, now) : now;
    m_started = true;
}

void retry_budget::add(std::int64_t parts)
{
    m_parts = std::min(m_parts + parts, m_options.maxSaved * partsPerRetry);
}

} // namespace tamarackridge
