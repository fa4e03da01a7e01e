#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>

namespace tamarackridge {

/// \brief A mean latency and the mean concurrency at which it was measured.
struct latency_point
{
    double inFlight = 0;
    double latency = 0; ///< In nanoseconds.
};

/// \brief Sums of latency and concurrency over the runs that ended in one measurement window.
///
/// \code
/// latency_window window;
/// window.addSuccess(latency, inFlight);
/// const latency_point point = window.mean();
/// \endcode
class latency_window
{
public:
    void reset(time_point now) { *this = latency_window(now); }
    explicit latency_window(time_point start = {})
        : m_start(start)
    { }

    void addSuccess(duration latency, std::uint32_t inFlight)
    {
        ++m_successes;
        m_latencySum += static_cast<double>(latency.count());
        m_inFlightSum += inFlight;
    }
    /// \brief Counts a timeout or an overload response.
    void addFailure() { ++m_failures; }

    time_point start() const { return m_start; }
    std::uint32_t successes() const { return m_successes; }
    std::uint32_t ended() const { return m_successes + m_failures; }
    double failureShare() const { return static_cast<double>(m_failures) / ended(); }
    latency_point mean() const { return {m_inFlightSum / m_successes, m_latencySum / m_successes}; }

private:
    time_point m_start;
    double m_latencySum = 0;
    double m_inFlightSum = 0;
    std::uint32_t m_successes = 0;
    std::uint32_t m_failures = 0;
};

} // namespace tamarackridge
