#pragma once

#include "load/field_reader.h"

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief A part of the run with one rate multiplier per customer.
struct load_phase
{
    std::string name;
    duration length{};
    std::vector<double> multipliers; ///< One per customer, by index.
    bool surge = false; ///< The recovery is measured from the end of this phase.
};

/// \brief A kind of request.
struct request_kind
{
    std::string name;
    std::string method;
    std::string path;
    bool idempotent = true;
    bool crash = false; ///< Sends `X-Crash: 1`: the backend stand-in that runs it ends.
    std::size_t bodyBytes = 0; ///< Least length of the body; methods other than GET only.
};

/// \brief What a customer does after a failed send.
enum class retry_mode { none, immediate, backoff };

/// \brief Retry habit of a customer.
struct retry_habit
{
    retry_mode mode = retry_mode::none;
    unsigned retries = 0; ///< Sends after the first one.
    duration base{}; ///< First pause of `backoff`; doubles with every retry.
};

/// \brief Rate and burst that the customer is entitled to.
struct rate_limit
{
    double rate = 0.0; ///< Requests per second; 0: no limit is assumed.
    double burst = 0.0;
};

/// \brief How a customer obtains request ids.
enum class id_source { batch, response };

/// \brief One customer of the plan.
struct load_customer
{
    std::string name;
    std::string key; ///< Empty: no Authorization header.
    double rate = 0.0; ///< Arrivals per second at multiplier 1.
    rate_limit limit;
    std::vector<double> kindShares; ///< One per kind, by index.
    std::vector<std::string> targets; ///< Base URLs.
    double skew = 0.0; ///< Target i has weight (i + 1)^-skew; 0 spreads evenly.
    retry_habit retry;
    duration timeout{}; ///< Of each send.
    duration deadline{}; ///< Sent as `Tamarackridge-Deadline-Ms`; 0: not sent.
    id_source ids = id_source::batch;
};

/// \brief A whole run.
struct load_plan
{
    std::uint64_t seed = 1;
    unsigned threads = 1;
    std::size_t maxOutstanding = 0; ///< Requests begun and not finished, all threads together.
    duration drain{}; ///< After the last phase, time for outstanding requests.
    std::vector<load_phase> phases;
    std::vector<request_kind> kinds;
    std::vector<load_customer> customers;

    /// \returns the length of all phases.
    duration length() const;
};

/// \brief Reads a plan, JSON with comments.
/// \param faults receives every fault; the plan is usable only when there is none.
load_plan parsePlan(std::string_view text, error_list &errors);

} // namespace tamarackridge::load
