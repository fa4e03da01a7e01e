#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include <cstddef>
#include <vector>

namespace tamarackridge::load {

/// \brief Service that a customer received, compared with what its rate limit allows.
struct service_level
{
    std::size_t withinRate = 0; ///< Requests within rate and burst of an ideal bucket.
    std::size_t complete = 0; ///< Requests with a complete response.
    /// Maximum over time of the difference between the sends that an ideal bucket would have
    /// admitted so far and those that were admitted. Equals the number of refusals if the customer
    /// stays within its rate.
    std::size_t wrongfulRefusals = 0;

    /// \returns complete responses per request within the rate, at most 1.
    double servedRatio() const;
};

/// \returns one element per customer of the plan.
std::vector<service_level> measureServiceLevels(const load_plan &plan, const run_records &records);

} // namespace tamarackridge::load
