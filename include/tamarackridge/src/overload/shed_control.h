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

/// \brief Decides which priority ranks are refused while a queue stays long.
///
/// Once per interval: if even the smallest delay of the interval was above the target, the queue
/// did not come from a burst. The threshold then rises by one rank that has arrivals, but only as
/// far as the ranks from there up still arrive at least as fast as requests are run. Ranks are
/// therefore shed from low to high, the highest arriving rank is never shed, and shedding never
/// leaves the backend server idle. After an interval with a small delay the threshold falls by one
/// rank.
///
/// \code
/// shed_control shed;
/// shed.onArrival(rank);
/// shed.observeDelay(oldestWait, now);
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
    /// \brief Reports the wait of the entry that has waited longest, 0 for an empty queue, and
    /// closes intervals that have ended.
    /// \param patience the target is at least this long.
    void observeDelay(duration delay, duration patience, time_point now);

    /// \returns the lowest rank still admitted.
    std::uint8_t threshold() const { return m_threshold; }
    /// \returns true when the delay stayed above the target during the last interval.
    bool standing() const { return m_standing; }
    /// \returns runs per interval, averaged over a few intervals.
    double runsPerInterval() const { return m_runRate; }

private:
    void closeInterval(duration patience);
    void raise();
    void lower();

    shed_control_options m_options;
    std::array<std::uint32_t, 256> m_arrivals{};
    std::bitset<256> m_seen; ///< Ranks that ever arrived, the steps for lowering.
    std::uint32_t m_runs = 0;
    double m_runRate = 0;
    duration m_minDelay = duration::max();
    time_point m_intervalEnd;
    bool m_started = false;
    bool m_standing = false;
    std::uint8_t m_threshold = 0;
};

} // namespace tamarackridge
