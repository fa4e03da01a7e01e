#include "backend/load_endpoint.h"

namespace tamarackridge::backend {

load_endpoint::load_endpoint(std::chrono::milliseconds lag, double factor)
    : m_lag(lag)
    , m_factor(factor)
{ }

void load_endpoint::note(const gate_load &load, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    m_samples.push_back({now, load});
    dropSuperseded(now);
}

gate_load load_endpoint::reported(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    dropSuperseded(now);
    if (m_samples.empty() || now - m_samples.front().at < m_lag)
        return {};
    const gate_load &load = m_samples.front().load;
    return {static_cast<std::uint32_t>(load.running * m_factor),
            static_cast<std::uint32_t>(load.queued * m_factor)};
}

void load_endpoint::setFactor(double factor)
{
    const std::lock_guard lock(m_mutex);
    m_factor = factor;
}

void load_endpoint::dropSuperseded(steady_time now)
{
    while (m_samples.size() > 1 && now - m_samples[1].at >= m_lag)
        m_samples.pop_front();
}

} // namespace tamarackridge::backend
