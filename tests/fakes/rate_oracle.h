#pragma once

#include "tamarackridge/core"

#include <algorithm>

namespace tamarackridge::fakes {

/// \brief Checks one customer's admissions against its rate and burst only.
///
/// The admissions in every window of length T stay within rate * T + burst exactly when a single
/// token bucket with this rate and burst, full at the start, is never overdrawn.
class rate_oracle
{
public:
    rate_oracle(double ratePerSecond, double burst)
        : m_rate(ratePerSecond)
        , m_burst(burst)
        , m_level(burst)
    { }

    /// \brief Records the arrival of a request and decides on it with an ideal single bucket, for
    /// comparison.
    void onArrival(time_point now)
    {
        advance(now);
        if (m_ideal >= 1) {
            m_ideal -= 1;
            ++m_idealAdmitted;
        }
    }

    void onAdmitted(time_point now)
    {
        advance(now);
        m_level -= 1;
        m_minLevel = std::min(m_minLevel, m_level);
        ++m_admitted;
    }

    void onRefused() { ++m_refused; }

    /// \brief Resets the counts, for example after a start with empty buckets.
    void resetCounts()
    {
        m_admitted = 0;
        m_refused = 0;
        m_idealAdmitted = 0;
    }

    /// \returns the maximum number of requests by which the bound was exceeded.
    double excess() const { return std::max(0.0, -m_minLevel); }
    std::size_t admitted() const { return m_admitted; }
    std::size_t refused() const { return m_refused; }
    /// \returns how many fewer requests were admitted than by the ideal bucket.
    std::size_t wrongful() const { return m_idealAdmitted - std::min(m_idealAdmitted, m_admitted); }

private:
    void advance(time_point now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
        m_level = std::min(m_burst, m_level + m_rate * elapsed);
        m_ideal = std::min(m_burst, m_ideal + m_rate * elapsed);
        m_updatedAt = now;
    }

    double m_rate;
    double m_burst;
    double m_level;
    double m_ideal = m_burst;
    double m_minLevel = 0;
    time_point m_updatedAt{};
    std::size_t m_admitted = 0;
    std::size_t m_refused = 0;
    std::size_t m_idealAdmitted = 0;
};

} // namespace tamarackridge::fakes
