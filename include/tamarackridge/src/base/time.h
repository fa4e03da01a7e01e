#pragma once

#include <chrono>

namespace tamarackridge {

/// \brief Clock type of the library; it is never read by the library itself.
///
/// The embedding program supplies every time stamp from one monotonic clock of its own. Time stamps
/// of two processes are never compared: only durations travel between them.
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;

} // namespace tamarackridge
