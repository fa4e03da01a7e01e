#pragma once

#include "load/field_reader.h"

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief A section of the run with its own rate multiplier for each customer.
struct load_phase
{
    std::string name;
    duration length{};
    std::vector<double> multipliers; ///< One per customer, by index.
    bool surge = false; ///< Recovery time is measured from the end of this phase.
};

/// \brief A kind of request.
struct request_kind
{
    std::string name;
    std::string method;
    std::string path;
    bool idempotent = true;
    bool crash = false; ///< Sends `X-Crash: 1`, which makes the executing backend stand-in exit.
    std::size_t minBodyBytes = 0; ///< Minimum body length; must be 0 for GET.
};

/// \brief What a customer does after a failed send.
enum class retry_mode { none, immediate, backoff };

/// \brief Retry policy of a customer.
struct retry_policy
{
    retry_mode mode = retry_mode::none;
    unsigned retries = 0; ///< Maximum number of sends after the first one.
    duration baseDelay{}; ///< Initial delay of `backoff`; doubles with every retry.
};

/// \brief Rate and burst that the customer may use.
struct rate_limit
{
    double rate = 0.0; ///< Requests per second; 0 means unlimited.
    double burst = 0.0;
};

/// \brief How a customer obtains request ids.
enum class id_source { batch, response };

/// \brief One customer of the plan.
struct load_customer
{
    std::string name;
    std::string key; ///< Sent as bearer token; if empty, no Authorization header is sent.
    double rate = 0.0; ///< Arrivals per second at a multiplier of 1.
    rate_limit limit;
    std::vector<double> kindWeights; ///< Relative weight of each kind, by index.
    std::vector<std::string> targets; ///< Base URLs.
    double skew = 0.0; ///< Target i has weight (i + 1)^-skew; 0 gives all targets equal weight.
    retry_policy retry;
    duration timeout{}; ///< Of each send.
    duration deadline{}; ///< Sent as `Tamarackridge-Deadline-Ms`; 0 omits the header.
    id_source ids = id_source::batch;
};

/// \brief Plan of a complete run.
struct load_plan
{
    std::uint64_t seed = 1;
    unsigned threads = 1;
    std::size_t maxOutstanding = 0; ///< Maximum number of unfinished requests over all threads.
    duration drainTimeout{}; ///< How long outstanding requests may take after the last phase.
    std::vector<load_phase> phases;
    std::vector<request_kind> kinds;
    std::vector<load_customer> customers;

    /// \returns the total length of all phases.
    duration length() const;
};

/// \brief Parses a plan from JSON with comments.
/// \param errors receives every error; the plan may only be used if there is none.
load_plan parsePlan(std::string_view text, error_list &errors);

} // namespace tamarackridge::load
