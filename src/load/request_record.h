#pragma once

#include "tamarackridge/src/base/run_state.h"
#include "tamarackridge/src/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief How a whole request, with all its sends, ended for the customer.
enum class request_outcome {
    whole, ///< 2xx with the expected body.
    mismatched, ///< 2xx with another body than the request's own.
    refused, ///< Another status.
    no_answer, ///< Timeout or broken connection.
    not_sent, ///< The bound on outstanding requests was reached.
};

/// \brief One request of a customer; all times count from the start of the run.
struct request_record
{
    std::size_t customer = 0;
    std::size_t kind = 0;
    std::string loadId;
    duration intended{}; ///< Arrival by the schedule; latency counts from here.
    duration firstSent{};
    duration finished{};
    unsigned sends = 0;
    request_outcome outcome = request_outcome::not_sent;
    long status = 0; ///< Of the last answer; 0 without one.
    std::string error; ///< `Tamarackridge-Error` of the last answer.
    std::optional<run_state> state; ///< `Tamarackridge-Run-State` of the last answer.
    std::optional<duration> lastNotRunAt; ///< When the latest `not-run` was received.
};

/// \brief One send of a request, for the comparison with the ideal rate limit.
struct send_record
{
    std::size_t customer = 0;
    duration at{};
    bool refusedForRate = false;
    bool first = false; ///< First send of its request.
};

/// \brief Everything that a run recorded.
struct run_records
{
    std::vector<request_record> requests;
    std::vector<send_record> sends;
};

} // namespace tamarackridge::load
