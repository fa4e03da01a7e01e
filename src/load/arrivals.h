#pragma once

#include "load/plan.h"

#include "tamarackridge/src/base/random_source.h"

#include <optional>

namespace tamarackridge::load {

/// \brief Arrival times of one customer: a Poisson process whose rate follows the phases.
///
/// The schedule depends on the plan and the random source only, never on completions.
class arrival_schedule
{
public:
    /// \param share fraction of the customer's rate that this schedule covers.
    arrival_schedule(const load_plan &plan, std::size_t customer, double share);

    /// \returns the next arrival, relative to the start of the run, or nothing after the last
    /// phase.
    std::optional<duration> next(random_source &random);

private:
    double rateOf(const load_phase &phase) const;

    const load_plan *m_plan;
    std::size_t m_customer;
    double m_share;
    std::size_t m_phase = 0;
    duration m_phaseStart{};
    duration m_last{};
};

} // namespace tamarackridge::load
