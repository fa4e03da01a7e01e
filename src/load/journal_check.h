#pragma once

#include "load/execution_history.h"
#include "load/request_record.h"

#include <span>
#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief Compares the responses that callers received with the execution journals of the backend
/// servers.
struct journal_check_result
{
    std::size_t writesChecked = 0;
    std::size_t duplicateExecutions =
            0; ///< Writes that started more than once, including onward calls.
    std::size_t lostWrites = 0; ///< Complete response although no execution completed.
    std::size_t falseNotRun = 0; ///< Run state `not-run` although an execution had started.
    std::size_t falseRan = 0; ///< Run state `ran` although no backend server received the request.
    std::size_t ranButShed = 0; ///< Run state `ran` although the backend servers shed every send.
    std::size_t unknownStates = 0; ///< Writes whose last response has run state `unknown`.
    std::vector<std::string> examples; ///< The first violations found, one line each.
};

/// \brief Compares request records with execution journals.
/// \param startNs steady clock at the start of the run, in nanoseconds; the times in the records
/// are relative to it.
journal_check_result checkJournals(std::span<const request_record> requests,
                                   const history_index &index, std::int64_t startNs);

} // namespace tamarackridge::load
