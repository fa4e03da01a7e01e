#include "tamarackridge/src/overload/concurrency_limit.h"

#include <algorithm>

namespace tamarackridge {

concurrency_limit::concurrency_limit(const concurrency_limit_options &options)
    : m_options(options)
    , m_limit(options.initialLimit)
{ }

bool concurrency_limit::tryAcquire()
{
    if (m_inFlight >= limit())
        return false;
    ++m_inFlight;
    return true;
}

void concurrency_limit::release(time_point, duration, run_outcome outcome)
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (outcome == run_outcome::success)
        m_limit += 1 / m_limit;
    else if (outcome == run_outcome::timeout || outcome == run_outcome::overloaded)
        m_limit *= 0.9;
    m_limit = std::clamp<double>(m_limit, m_options.minLimit, m_options.maxLimit);
}

void concurrency_limit::restart(time_point, std::uint32_t slots)
{
    m_slots = slots;
    m_limit = m_options.initialLimit;
}

void concurrency_limit::hintSlots(std::uint32_t slots)
{
    m_hint = slots;
}

std::uint32_t concurrency_limit::limit() const
{
    std::uint32_t result = static_cast<std::uint32_t>(m_limit);
    if (m_slots > 0)
        result = std::min(result, m_slots);
    if (m_hint > 0)
        result = std::min(result, m_hint);
    return std::max(result, m_options.minLimit);
}

} // namespace tamarackridge
