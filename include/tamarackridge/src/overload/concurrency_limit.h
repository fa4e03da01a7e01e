#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/overload/run_outcome.h"

#include <cstdint>

namespace tamarackridge {

/// \brief Settings of a concurrency_limit.
struct concurrency_limit_options
{
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 1000;
    std::uint32_t initialLimit = 8; ///< Start of the ramp when the slots are not known.
};

/// \brief Concurrent requests that a backend server is given, learned from what it does with them.
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
    /// \param slots upper bound that the backend server announced; 0 when not known.
    void restart(time_point now, std::uint32_t slots);
    /// \brief Lowers the limit's ceiling to what a load endpoint reports; it never raises a limit.
    /// \param slots 0 withdraws the hint.
    void hintSlots(std::uint32_t slots);

    std::uint32_t limit() const;
    std::uint32_t inFlight() const { return m_inFlight; }

private:
    concurrency_limit_options m_options;
    double m_limit;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_slots = 0;
    std::uint32_t m_hint = 0;
};

} // namespace tamarackridge
