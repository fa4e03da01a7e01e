#pragma once

#include "tamarackridge/src/base/time.h"

namespace tamarackridge {

/// \returns the current time of the clock that all decisions use.
///
/// It also counts the time that the VM is suspended, so that leases, grants and deadlines expire
/// meanwhile; std::chrono::steady_clock does not count it.
time_point monotonicNow();

} // namespace tamarackridge
