#pragma once

#include "tamarackridge/src/base/time.h"

#include <array>
#include <bitset>
#include <cstdint>

namespace tamarackridge {

/// \brief Settings of a shed_control.
struct shed_control_options
{
    duration targetDelay = std::chrono::milliseconds(20);
    duration interval = std::chrono::milliseconds(100);
};

/// \brief Decides which priority ranks are refused while there is a standing queue.
///
/// The threshold is updated once per interval. If even the smallest delay of the interval was above
/// the target, the queue was not caused by a burst. The threshold then rises to the next rank with
/// arrivals, provided that the ranks at or above it arrive at least as fast as requests are run.
/// Ranks are therefore shed from low to high, the highest arriving rank is never shed, and shedding
/// never leaves the backend server idle. After an interval with a smaller delay the threshold falls
/// to the next lower rank that has had arrivals.
///
/// \code
/// shed_control shed;
/// shed.onArrival(rank);
/// shed.observeDelay(oldestWait, minTargetDelay, now);
/// const bool refuse = rank < shed.threshold();
/// \endcode
class shed_control
{
public:
    explicit shed_control(const shed_control_options &options = {});

    /// \brief Counts a request of \a rank, whether it is admitted or refused.
    void onArrival(std::uint8_t rank);
    /// \brief Counts a request that left the queue to run.
    void onRun() { ++m_runs; }
    /// \brief Records the current queue delay and closes the intervals that have ended.
    /// \param delay how long the oldest entry has waited, 0 for an empty queue.
    /// \param minTargetDelay lower bound for the target delay.
    void observeDelay(duration delay, duration minTargetDelay, time_point now);

    /// \returns the lowest rank that is admitted.
    std::uint8_t threshold() const { return m_threshold; }
    /// \returns true when the delay stayed above the target during the last interval.
    bool hasStandingQueue() const { return m_standingQueue; }
    /// \returns runs per interval, averaged over a few intervals.
    double runsPerInterval() const { return m_runRate; }

private:
    void closeInterval(duration minTargetDelay);
    void raiseThreshold();
    void lowerThreshold();

    shed_control_options m_options;
    std::array<std::uint32_t, 256> m_arrivals{};
    std::bitset<256> m_seenRanks; ///< Ranks that have ever arrived; used to lower the threshold.
    std::uint32_t m_runs = 0;
    double m_runRate = 0;
    duration m_minDelay = duration::max();
    time_point m_intervalEnd;
    bool m_started = false;
    bool m_standingQueue = false;
    std::uint8_t m_threshold = 0;
};

} // namespace tamarackridge
