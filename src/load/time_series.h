#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include <optional>
#include <span>
#include <vector>

namespace tamarackridge::load {

/// \brief Request counts of one second of a run.
struct second_counts
{
    std::size_t offered = 0; ///< Requests with their intended start in this second.
    std::size_t complete = 0; ///< Those of them that got a complete response, at any time.
    std::size_t goodput = 0; ///< Complete responses received in this second.
};

/// \returns one element per second from the start of the run.
std::vector<second_counts> countBySecond(std::span<const request_record> requests);

/// \brief Seconds [first, end) of a run.
struct second_range
{
    std::size_t first = 0;
    std::size_t end = 0;
};

/// \brief Computes the recovery time after a surge.
///
/// Each second is rated by the share of its offered requests that got complete responses. Unlike
/// the number of responses, this share does not vary with the random number of arrivals. Seconds
/// without arrivals are skipped.
/// \param before the seconds before the surge, whose share is the baseline.
/// \param after the seconds after the surge.
/// \returns seconds from the end of the surge to the first second from which the share stays at 95%
/// of the baseline or above; nothing if it never does.
std::optional<std::size_t> recoverySeconds(std::span<const second_counts> seconds,
                                           second_range before, second_range after);

/// \brief A surge of a plan and its recovery.
struct surge_recovery
{
    std::size_t phase = 0; ///< Index of the phase.
    std::optional<std::size_t> seconds;
};

/// \returns the recovery after each phase that is marked as a surge, measured up to the next surge
/// or the end of the plan.
std::vector<surge_recovery> recoveries(const load_plan &plan,
                                       std::span<const second_counts> seconds);

} // namespace tamarackridge::load
