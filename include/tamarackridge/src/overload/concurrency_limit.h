#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/overload/latency_window.h"
#include "tamarackridge/src/overload/run_outcome.h"

#include <cstdint>

namespace tamarackridge {

/// \brief Settings of a concurrency_limit.
struct concurrency_limit_options
{
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 1000;
    std::uint32_t initialLimit = 8; ///< The limit at the beginning of the cold-start ramp.
    double tolerance = 1.5; ///< Ratio of latency to baseline above which queueing is suspected.
    duration minWindow = std::chrono::milliseconds(50);
    duration maxWindow = std::chrono::seconds(1);
    /// Minimum time between full checks of the baseline.
    duration baselineCheckInterval = std::chrono::seconds(10);
    /// Whether latency, timeouts and refusals lower the limit. False where the announced slots are
    /// reliable and runs wait for onward calls: latency and refusals then indicate the state of
    /// other servers, or errors, rather than a queue in this server.
    bool adaptive = true;
    /// Fraction of the announced slots that may be used; some servers slow down when almost all are
    /// taken.
    double usableSlotFraction = 1;
};

/// \brief Limits the concurrent requests to a backend server, based on the measured latency.
///
/// The latency of each measurement window is compared with a baseline. A higher latency alone does
/// not distinguish a queue in the backend server, where a lower limit helps, from a server that has
/// become slower, where a lower limit only costs throughput. The limit is therefore lowered for one
/// window as a check: if latency falls with concurrency, requests were queueing and the limit stays
/// low; otherwise the server is slower, the baseline is set to the new latency and the limit is
/// restored. The same check runs periodically while the limit is fully used, to correct a baseline
/// that was measured under load.
///
/// \code
/// concurrency_limit limit;
/// limit.restart(now, announcement.slots);
/// if (limit.tryAcquire())
///     run();
/// limit.release(now, latency, run_outcome::success);
/// \endcode
/// \sa admission_queue
class concurrency_limit
{
public:
    explicit concurrency_limit(const concurrency_limit_options &options = {});

    /// \brief Counts one more request in flight unless the limit is reached.
    /// \returns false when the limit is reached.
    bool tryAcquire();
    /// \brief Removes one request in flight and adds its run to the measurement window.
    /// \param latency time from the start of the run to its end.
    void release(time_point now, duration latency, run_outcome outcome);

    /// \brief Restarts the cold-start ramp for a new instance of the backend server.
    ///
    /// Runs of the earlier instance count as in flight until they are released.
    /// \param slots the maximum concurrency that the backend server announced; 0 when unknown.
    void restart(time_point now, std::uint32_t slots);
    /// \brief Caps the limit at the slots that a load endpoint reports; never raises it.
    /// \param slots 0 removes the cap.
    void setSlotHint(std::uint32_t slots) { m_slotHint = slots; }

    std::uint32_t limit() const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /// \returns the latency without queueing, as far as measured; 0 while it is unknown.
    duration baseline() const { return duration(static_cast<std::int64_t>(m_baseline)); }

private:
    enum class phase : std::uint8_t { ramp, steady, baseline_check };
    using window_handler = void (concurrency_limit::*)(const latency_point &, time_point);

    bool windowComplete(time_point now) const;
    void closeWindow(time_point now);
    void onRampWindow(const latency_point &point, time_point now);
    void onSteadyWindow(const latency_point &point, time_point now);
    void onBaselineCheckWindow(const latency_point &point, time_point now);
    void lowerBaseline(const latency_point &point);
    void beginBaselineCheck(const latency_point &point, time_point now);
    void lowerLimitForCheck(const latency_point &point, time_point now);
    void endBaselineCheck(time_point now);
    double upperBound() const;
    void setLimit(double limit);
    void raiseLimit(double step);

    concurrency_limit_options m_options;
    double m_limit;
    double m_baseline = 0; ///< In nanoseconds.
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_slots = 0;
    std::uint32_t m_slotHint = 0;
    phase m_phase = phase::ramp;
    bool m_limitReached = false; ///< Whether the limit was reached in this window.
    bool m_checkUntilFlat = false; ///< Whether the check continues until latency stops falling.
    double m_limitBeforeStep = 0; ///< Limit before the last step of the check.
    latency_point m_pointBeforeStep; ///< Latency and concurrency before the last step of the check.
    time_point m_sampleRunsFrom; ///< Earlier runs had another limit and are not sampled.
    time_point m_nextCheck;
    latency_window m_window;
};

} // namespace tamarackridge
