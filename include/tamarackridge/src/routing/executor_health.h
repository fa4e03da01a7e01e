#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/overload/run_outcome.h"

#include <cstdint>

namespace tamarackridge {

/// \brief When an executor is ejected and for how long.
struct ejection_options
{
    std::uint32_t failureStreak = 5; ///< Consecutive failures that eject.
    duration firstTime = std::chrono::seconds(1); ///< Doubles with each failed probe.
    duration maxTime = std::chrono::seconds(30);
    /// Time without any answer after which a streak of timeouts, or as many waiting dispatches,
    /// ejects. It is extended to four average latencies for slow services.
    duration stallTime = std::chrono::seconds(1);
};

/// \brief What one node knows about another node's backend server from its own dispatches.
///
/// Heartbeats update the load only: an executor that sends heartbeats and answers no dispatch is
/// ejected like a dead one.
///
/// \code
/// executor_health health;
/// health.onDispatched(now);
/// health.onResponse(latency, run_outcome::success, now, options);
/// const double delay = health.expectedDelay(linkDelay, usual, now);
/// \endcode
class executor_health
{
public:
    void onDispatched(time_point now);
    void onResponse(duration latency, run_outcome outcome, time_point now,
                    const ejection_options &options);
    void setLoad(const executor_load &load) { m_load = load; }

    /// \brief Ejects the executor when its dispatches wait without any answer.
    /// \returns true while the executor is ejected.
    bool updateEjected(time_point now, const ejection_options &options);
    /// \returns true when one request may find out whether an ejected executor serves again.
    bool probeDue(time_point now) const { return now >= m_ejectedUntil && m_inFlight == 0; }
    /// \returns true when no dispatch is waiting for an answer.
    bool idle() const { return m_inFlight == 0; }
    /// \returns whether a further request would run at once, as far as the last load tells.
    bool hasFreePlace() const
    {
        return m_load.limit == 0 || (m_load.queued == 0 && m_load.inFlight < m_load.limit);
    }
    bool admits(std::uint8_t rank) const { return m_load.shedThreshold <= rank; }

    /// \param usualLatency of the service in nanoseconds, for an executor not yet known.
    /// \returns nanoseconds until the answer of a further dispatch, by estimate; attempts that
    /// would have to be made elsewhere after a failure are included.
    double expectedDelay(duration linkDelay, double usualLatency, time_point now) const;

private:
    void onFailure(bool answerless, time_point now, const ejection_options &options);
    bool silent(time_point since, time_point now, const ejection_options &options) const;
    void eject(time_point now, const ejection_options &options);
    double currentLatency(double usualLatency, time_point now) const;

    executor_load m_load;
    float m_latency = 0; ///< Average in nanoseconds, 0 when not known.
    float m_failureShare = 0;
    std::uint32_t m_inFlight = 0;
    std::uint16_t m_streak = 0;
    std::uint8_t m_ejections = 0; ///< Since the last success.
    bool m_ejected = false;
    time_point m_ejectedUntil;
    time_point m_progressAt; ///< Last answer, or first dispatch after a pause.
    time_point m_answeredAt; ///< Last answer, moved on by the time without dispatches since.
    time_point m_idleSince;
};

} // namespace tamarackridge
