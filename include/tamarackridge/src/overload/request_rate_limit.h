#pragma once

#include "tamarackridge/src/base/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace tamarackridge {

/// \brief Limits the rate at which requests start; no limit is in force at first.
///
/// Permits that are not taken accumulate for a short time only, so that the rate holds over any
/// second.
///
/// \code
/// request_rate_limit rate;
/// rate.set(20, now);
/// if (rate.permits(now))
///     rate.take();
/// \endcode
class request_rate_limit
{
public:
    /// \brief Puts a limit into force or changes it. A limit that was not in force before begins
    /// without permits.
    /// \param perSecond more than 0.
    void set(double perSecond, time_point now)
    {
        refill(now);
        if (!m_perSecond)
            m_permits = 0;
        m_perSecond = perSecond;
        m_permits = std::min(m_permits, maxPermits());
    }
    void clear() { m_perSecond.reset(); }

    /// \returns requests per second, if a limit is in force.
    const std::optional<double> &perSecond() const { return m_perSecond; }
    /// \returns whether a request may start now.
    bool permits(time_point now)
    {
        refill(now);
        return !m_perSecond || m_permits >= 1;
    }
    /// \brief Records that a request starts.
    void take() { m_permits -= m_perSecond ? 1 : 0; }

private:
    static constexpr std::chrono::milliseconds accumulation{250};

    double maxPermits() const
    {
        return std::max(1.0, *m_perSecond * std::chrono::duration<double>(accumulation).count());
    }
    void refill(time_point now)
    {
        if (m_perSecond)
            m_permits = std::min(
                    maxPermits(),
                    m_permits
                            + *m_perSecond
                                      * std::chrono::duration<double>(now - m_refilled).count());
        m_refilled = now;
    }

    std::optional<double> m_perSecond;
    double m_permits = 0;
    time_point m_refilled;
};

} // namespace tamarackridge
