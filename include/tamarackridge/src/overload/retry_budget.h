#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>

namespace tamarackridge {

/// \brief Settings of a retry_budget.
struct retry_budget_options
{
    std::uint32_t retryPercent = 10; ///< Retries per hundred first attempts.
    std::uint32_t minRetriesPerSecond = 1; ///< Retries allowed without any first attempts.
    std::uint32_t maxSavedRetries = 50; ///< Bound for the unused retries that are kept.
};

/// \brief Limits the retries of one node to a share of its first attempts.
///
/// When many requests fail at once, this bounds the additional load from every node, which a limit
/// on the attempts of each single request does not.
///
/// \code
/// retry_budget budget;
/// budget.onFirstAttempt(now);
/// if (budget.tryRetry(now))
///     sendAgain();
/// \endcode
/// \sa attempt_budget
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options &options = {});

    /// \brief Counts a first attempt, which adds the fraction retryPercent / 100 of a retry.
    void onFirstAttempt(time_point now);
    /// \brief Takes one retry from the budget.
    /// \returns false when the budget is exhausted.
    bool tryRetry(time_point now);
    /// \returns whether tryRetry() would take a retry.
    bool canRetry(time_point now);

private:
    void refill(time_point now);
    void add(std::int64_t nanoRetries);

    retry_budget_options m_options;
    std::int64_t m_nanoRetries; ///< Retries available, in billionths of a retry.
    time_point m_refilledAt;
    bool m_started = false;
};

} // namespace tamarackridge
