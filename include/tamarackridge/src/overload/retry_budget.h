#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>

namespace tamarackridge {

/// \brief Settings of a retry_budget.
struct retry_budget_options
{
    std::uint32_t sharePercent = 10; ///< Retries per hundred first attempts.
    std::uint32_t floorPerSecond = 1; ///< Retries allowed without any first attempts.
    std::uint32_t maxSaved = 50; ///< Unused retries that are kept for later.
};

/// \brief The retries that one node may make, as a share of its first attempts.
///
/// When many requests fail at once, the share keeps the added load small on every node, which the
/// attempts of a single request cannot do.
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

    /// \brief Counts a first attempt, which earns a share of a retry.
    void onFirstAttempt(time_point now);
    /// \returns true and takes one retry when the budget allows it.
    bool tryRetry(time_point now);
    /// \returns whether tryRetry() would take a retry.
    bool canRetry(time_point now);

private:
    void refill(time_point now);
    void add(std::int64_t parts);

    retry_budget_options m_options;
    std::int64_t m_parts; ///< In billionths of a retry.
    time_point m_refilledAt;
    bool m_started = false;
};

} // namespace tamarackridge
