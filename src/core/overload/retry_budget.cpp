#include "tamarackridge/src/overload/retry_budget.h"

#include <algorithm>

namespace tamarackridge {

namespace {
constexpr std::int64_t nanoRetriesPerRetry = 1'000'000'000;
} // namespace

retry_budget::retry_budget(const retry_budget_options &options)
    : m_options(options)
    , m_nanoRetries(options.minRetriesPerSecond * nanoRetriesPerRetry)
{ }

void retry_budget::onFirstAttempt(time_point now)
{
    refill(now);
    add(m_options.retryPercent * (nanoRetriesPerRetry / 100));
}

bool retry_budget::canRetry(time_point now)
{
    refill(now);
    return m_nanoRetries >= nanoRetriesPerRetry;
}

bool retry_budget::tryRetry(time_point now)
{
    if (!canRetry(now))
        return false;
    m_nanoRetries -= nanoRetriesPerRetry;
    return true;
}

void retry_budget::refill(time_point now)
{
    if (m_started && now > m_refilledAt) {
        // The pause is capped: a longer one could only fill the budget to its bound, but would
        // overflow the product.
        const duration passed = std::min<duration>(now - m_refilledAt, std::chrono::hours(1));
        // Each retry per second is one nano-retry per nanosecond.
        add(passed.count() * m_options.minRetriesPerSecond);
    }
    m_refilledAt = m_started ? std::max(m_refilledAt, now) : now;
    m_started = true;
}

void retry_budget::add(std::int64_t nanoRetries)
{
    m_nanoRetries =
            std::min(m_nanoRetries + nanoRetries, m_options.maxSavedRetries * nanoRetriesPerRetry);
}

} // namespace tamarackridge
