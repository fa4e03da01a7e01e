#include "load/arrivals.h"

#include <cmath>

namespace tamarackridge::load {

arrival_schedule::arrival_schedule(const load_plan &plan, std::size_t customer, double share)
    : m_plan(&plan)
    , m_customer(customer)
    , m_share(share)
{ }

std::optional<duration> arrival_schedule::next(random_source &random)
{
    // Draws an exponential gap of rate 1 and uses it up at the rate of each phase that it spans.
    double gap = -std::log(1.0 - random.unit());
    for (; m_phase < m_plan->phases.size(); ++m_phase) {
        const load_phase &phase = m_plan->phases[m_phase];
        const duration end = m_phaseStart + phase.length;
        const double rate = rateOf(phase);
        const double left = std::chrono::duration<double>(end - m_last).count() * rate;
        if (gap < left) {
            m_last +=
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap / rate));
            return m_last;
        }
        gap -= left;
        m_last = end;
        m_phaseStart = end;
    }
    return std::nullopt;
}

double arrival_schedule::rateOf(const load_phase &phase) const
{
    return m_plan->customers[m_customer].rate * phase.multipliers[m_customer] * m_share;
}

} // namespace tamarackridge::load
