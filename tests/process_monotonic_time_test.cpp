#include "process/monotonic_time.h"

#include <gtest/gtest.h>

#include <sys/syscall.h>
#include <unistd.h>

#include <chrono>
#include <ctime>

namespace {

constexpr std::time_t suspendedSeconds = 30;
bool wasSuspended = false;

} // namespace

/// Replaces the C library's function in this program: the time of a suspension is counted by
/// CLOCK_BOOTTIME and the time of day only.
extern "C" int clock_gettime(clockid_t clock, timespec *time)
{
    const long result = syscall(SYS_clock_gettime, clock, time);
    if (wasSuspended && clock != CLOCK_MONOTONIC)
        time->tv_sec += suspendedSeconds;
    return static_cast<int>(result);
}

namespace tamarackridge {
namespace {

// Guards against a process that acts on a lease, a grant or a deadline that ran out while its VM
// was suspended.
TEST(process_monotonic_time, counts_the_time_that_the_vm_is_suspended)
{
    const time_point before = monotonicNow();
    wasSuspended = true;
    const duration gap = monotonicNow() - before;
    wasSuspended = false;
    EXPECT_GE(gap, std::chrono::seconds(suspendedSeconds));
    EXPECT_LT(gap, std::chrono::seconds(suspendedSeconds + 10));
}

} // namespace
} // namespace tamarackridge
