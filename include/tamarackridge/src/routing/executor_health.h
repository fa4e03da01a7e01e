#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/overload/run_outcome.h"

#include <cstdint>

namespace tamarackridge {

/// \brief Conditions and duration of the ejection of an executor.
struct ejection_options
{
    std::uint32_t failureStreak = 5; ///< Number of consecutive failures that ejects an executor.
    /// Duration of the first ejection; doubles with each failed probe, up to the maximum.
    duration initialEjectionPeriod = std::chrono::seconds(1);
    duration maxEjectionPeriod = std::chrono::seconds(30);
    /// Time without any response after which an executor is ejected for `failureStreak` consecutive
    /// timeouts or waiting dispatches. Extended to four average latencies for slow services.
    duration stallTimeout = std::chrono::seconds(1);
};

/// \brief Health of a remote executor, as observed by this node through its dispatches.
///
/// Heartbeats update the load only: an executor that sends heartbeats but responds to no dispatch
/// is ejected in the same way as one that is down.
///
/// \code
/// executor_health health;
/// health.onDispatched(now);
/// health.onResponse(latency, run_outcome::success, now, options);
/// const double delay = health.expectedDelay(linkDelay, averageLatency, now);
/// \endcode
class executor_health
{
public:
    void onDispatched(time_point now);
    void onResponse(duration latency, run_outcome outcome, time_point now,
                    const ejection_options &options);
    void setLoad(const executor_load &load) { m_load = load; }

    /// \brief Ejects the executor when its dispatches have waited too long without any response.
    /// \returns true while the executor is ejected.
    bool updateEjected(time_point now, const ejection_options &options);
    /// \returns true when one request may be sent to an ejected executor as a probe.
    bool probeDue(time_point now) const { return now >= m_ejectedUntil && m_inFlight == 0; }
    /// \returns true when no dispatch is waiting for a response.
    bool idle() const { return m_inFlight == 0; }
    /// \returns whether another request would run at once, according to the last load report.
    bool hasFreeCapacity() const
    {
        return m_load.limit == 0 || (m_load.queued == 0 && m_load.inFlight < m_load.limit);
    }
    bool admits(std::uint8_t rank) const { return m_load.shedThreshold <= rank; }

    /// \param averageLatency average of the service in nanoseconds, used while the latency of this
    /// executor is unknown.
    /// \returns the estimated time in nanoseconds until the response to another dispatch, including
    /// the attempts on other executors that a failure would require.
    double expectedDelay(duration linkDelay, double averageLatency, time_point now) const;

private:
    void onFailure(bool timedOut, time_point now, const ejection_options &options);
    bool exceedsStallTimeout(time_point since, time_point now,
                             const ejection_options &options) const;
    void eject(time_point now, const ejection_options &options);
    double currentLatency(double averageLatency, time_point now) const;

    executor_load m_load;
    float m_latency = 0; ///< Average in nanoseconds, 0 while unknown.
    float m_failureShare = 0;
    std::uint32_t m_inFlight = 0;
    std::uint16_t m_failureStreak = 0;
    std::uint8_t m_ejections = 0; ///< Since the last success.
    bool m_ejected = false;
    time_point m_ejectedUntil;
    time_point m_progressAt; ///< Last response, or first dispatch after an idle period.
    time_point m_respondedAt; ///< Last response, advanced by the time without dispatches since.
    time_point m_idleSince;
};

} // namespace tamarackridge
