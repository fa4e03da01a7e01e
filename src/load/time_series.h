#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include <optional>
#include <span>
#include <vector>

namespace tamarackridge::load {

/// \brief Counts of one second of a run.
struct second_counts
{
    std::size_t offered = 0; ///< Requests intended in this second.
    std::size_t whole = 0; ///< Those of them that got a whole answer, whenever it came.
    std::size_t goodput = 0; ///< Whole answers received in this second.
};

/// \returns one element per second from the start of the run.
std::vector<second_counts> countBySecond(std::span<const request_record> requests);

/// \brief Seconds [first, end) of a run.
struct second_range
{
    std::size_t first = 0;
    std::size_t end = 0;
};

/// \brief Recovery time after a surge.
///
/// The measure of a second is the share of its offered requests that got whole answers: unlike the
/// number of answers, it does not vary with the random number of arrivals. Seconds without
/// arrivals are passed over.
/// \param before the seconds before the surge, which set the level.
/// \param after the seconds after the surge.
/// \returns seconds from the end of the surge to the first second from which the share stays at 95%
/// of the level or above; nothing when it never does.
std::optional<std::size_t> recoverySeconds(std::span<const second_counts> seconds,
                                           second_range before, second_range after);

/// \brief A surge of a plan and its recovery.
struct surge_recovery
{
    std::size_t phase = 0; ///< Index of the phase.
    std::optional<std::size_t> seconds;
};

/// \returns the recovery after each phase that is marked as a surge; it is measured up to the next
/// surge or the end of the plan.
std::vector<surge_recovery> recoveries(const load_plan &plan,
                                       std::span<const second_counts> seconds);

} // namespace tamarackridge::load
