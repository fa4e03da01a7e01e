#pragma once

#include "tamarackridge/src/base/run_state.h"
#include "tamarackridge/src/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief Final outcome of a request for the customer, over all its sends.
enum class request_outcome {
    complete, ///< 2xx with the expected body.
    mismatched, ///< 2xx with a body that does not belong to the request.
    refused, ///< Status other than 2xx.
    no_response, ///< Timeout or broken connection.
    not_sent, ///< The limit of outstanding requests was reached.
};

/// \brief One request of a customer; all times are relative to the start of the run.
struct request_record
{
    std::size_t customer = 0;
    std::size_t kind = 0;
    std::string loadId;
    duration intendedStart{}; ///< Scheduled arrival; latency is measured from here.
    duration firstSent{};
    duration finished{};
    unsigned sends = 0;
    request_outcome outcome = request_outcome::not_sent;
    long status = 0; ///< HTTP status of the last response; 0 if there was none.
    std::string error; ///< `Tamarackridge-Error` of the last response.
    std::optional<run_state> state; ///< `Tamarackridge-Run-State` of the last response.
    std::optional<duration> lastNotRunAt; ///< When the latest `not-run` was received.
};

/// \brief One send of a request; used to compare admission with an ideal token bucket.
struct send_record
{
    std::size_t customer = 0;
    duration at{};
    bool refusedByRateLimit = false;
    bool first = false; ///< First send of its request.
};

/// \brief All records of a run.
struct run_records
{
    std::vector<request_record> requests;
    std::vector<send_record> sends;
};

} // namespace tamarackridge::load
