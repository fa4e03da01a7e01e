#pragma once

#include "load/execution_history.h"
#include "load/request_record.h"

#include <span>
#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief Comparison of what callers were told with what the journals say happened.
struct truth_report
{
    std::size_t writesChecked = 0;
    std::size_t doubleRuns = 0; ///< Writes that started more than once, onward calls included.
    std::size_t lostWrites = 0; ///< Answered whole although no execution completed.
    std::size_t falseNotRun = 0; ///< Told `not-run` although an execution had started.
    std::size_t falseRan = 0; ///< Told `ran` although no backend server saw the request.
    std::size_t ranButShed = 0; ///< Told `ran` although the backend servers only refused it.
    std::size_t unknownStates = 0; ///< Writes whose last answer says `unknown`.
    std::vector<std::string> examples; ///< The first faults, one line each.
};

/// \brief Compares records with journals.
/// \param startNs steady clock at the start of the run, from which the records count.
truth_report checkTruth(std::span<const request_record> requests, const history_index &index,
                        std::int64_t startNs);

} // namespace tamarackridge::load
