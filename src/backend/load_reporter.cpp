#include "backend/load_reporter.h"

namespace tamarackridge::backend {

load_reporter::load_reporter(std::chrono::milliseconds lag, double factor)
    : m_lag(lag)
    , m_factor(factor)
{ }

void load_reporter::record(const request_counts &load, steady_time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_samples.push_back({now, load});
    dropOutdated(now);
}

request_counts load_reporter::reported(steady_time_point now)
{
    const std::lock_guard lock(m_mutex);
    dropOutdated(now);
    if (m_samples.empty() || now - m_samples.front().at < m_lag)
        return {};
    const request_counts &load = m_samples.front().load;
    return {static_cast<std::uint32_t>(load.running * m_factor),
            static_cast<std::uint32_t>(load.queued * m_factor)};
}

void load_reporter::setFactor(double factor)
{
    const std::lock_guard lock(m_mutex);
    m_factor = factor;
}

void load_reporter::dropOutdated(steady_time_point now)
{
    while (m_samples.size() > 1 && now - m_samples[1].at >= m_lag)
        m_samples.pop_front();
}

} // namespace tamarackridge::backend
