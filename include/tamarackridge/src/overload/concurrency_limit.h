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
    std::uint32_t initialLimit = 8; ///< Start of the cold-start ramp.
    double tolerance = 1.5; ///< Latency over the baseline that is taken as a sign of queueing.
    duration minWindow = std::chrono::milliseconds(50);
    duration maxWindow = std::chrono::seconds(1);
    duration checkPeriod = std::chrono::seconds(10); ///< Between full checks of the baseline.
    /// False where the announced slots are true and runs wait for onward calls: latency and
    /// refusals then say more about other servers, or about faults, than about a queue here.
    bool adaptive = true;
    double usableSlotFraction =
            1; ///< Of the announced slots; some servers slow down when nearly full.
};

/// \brief Concurrent requests that a backend server is given, learned from what it does with them.
///
/// The latency of each window is compared with a baseline. A higher latency alone does not tell a
/// queue in the backend server, where a lower limit helps, from a server that has become slower,
/// where it only costs throughput. The limit is therefore lowered for a window to see: if latency
/// falls with concurrency, requests were queueing and the limit stays down; if it does not, the
/// server is slower, the baseline moves to the new latency and the limit returns. The same check
/// runs periodically at full use, so that a baseline that was learned under load is corrected.
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

    /// \brief Takes a place if one is free.
    bool tryAcquire();
    /// \brief Returns a place and learns from the run.
    /// \param latency time from the start of the run to its end.
    void release(time_point now, duration latency, run_outcome outcome);

    /// \brief Starts again with the cold-start ramp, for a new instance of the backend server.
    ///
    /// Runs of the earlier instance keep their places until they are released.
    /// \param slots upper bound that the backend server announced; 0 when not known.
    void restart(time_point now, std::uint32_t slots);
    /// \brief Lowers the limit to what a load endpoint reports; it never raises one.
    /// \param slots 0 withdraws the hint.
    void hintSlots(std::uint32_t slots) { m_hint = slots; }

    std::uint32_t limit() const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /// \returns the latency that counts as normal, 0 while it is not known.
    duration baseline() const { return duration(static_cast<std::int64_t>(m_baseline)); }

private:
    enum class phase : std::uint8_t { ramp, steady, check };
    using window_handler = void (concurrency_limit::*)(const latency_point &, time_point);

    bool windowComplete(time_point now) const;
    void closeWindow(time_point now);
    void onRampWindow(const latency_point &point, time_point now);
    void onSteadyWindow(const latency_point &point, time_point now);
    void onCheckWindow(const latency_point &point, time_point now);
    void followDown(const latency_point &point);
    void beginCheck(const latency_point &point, time_point now);
    void stepDown(const latency_point &point, time_point now);
    void endCheck(time_point now);
    double ceiling() const;
    void setLimit(double limit);
    void grow(double step);

    concurrency_limit_options m_options;
    double m_limit;
    double m_baseline = 0; ///< In nanoseconds.
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_slots = 0;
    std::uint32_t m_hint = 0;
    phase m_phase = phase::ramp;
    bool m_used = false; ///< Whether the limit was reached in this window.
    bool m_untilFlat = false; ///< Whether the check goes on until latency stops falling.
    double m_limitBefore = 0; ///< Limit and latency before the last step of the check.
    latency_point m_before;
    time_point m_learnFrom; ///< Runs that started earlier saw another limit.
    time_point m_nextCheck;
    latency_window m_window;
};

} // namespace tamarackridge
