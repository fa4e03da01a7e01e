#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include <cstddef>
#include <vector>

namespace tamarackridge::load {

/// \brief What a customer received compared with what its rate entitles it to.
struct service_received
{
    std::size_t insideRate = 0; ///< Requests inside rate and burst by an ideal bucket.
    std::size_t whole = 0; ///< Whole answers.
    /// Largest number of sends, at any moment, that an ideal bucket would have admitted in total
    /// beyond those that were admitted; inside the rate this is the number of refusals.
    std::size_t wrongfulRefusals = 0;

    /// \returns whole answers per request inside the rate, at most 1.
    double servedRatio() const;
};

/// \returns one element per customer of the plan.
std::vector<service_received> measureService(const load_plan &plan, const run_records &records);

} // namespace tamarackridge::load
