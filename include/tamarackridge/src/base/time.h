#pragma once

#include <chrono>

namespace tamarackridge {

/// \brief Clock type of the library. The library never reads a clock itself.
///
/// The embedding program supplies every timestamp from one monotonic clock. Timestamps of two
/// processes are never compared: messages between them contain durations only.
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
