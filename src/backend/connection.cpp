#include "backend/connection.h"

#include <poll.h>

#include <algorithm>

namespace tamarackridge::backend {
namespace {

bool pollForClose(int descriptor, std::chrono::nanoseconds maxWait)
{
    constexpr std::int64_t nanosPerSecond = 1'000'000'000;
    pollfd watched{descriptor, POLLRDHUP, 0};
    const timespec timeout{maxWait.count() / nanosPerSecond, maxWait.count() % nanosPerSecond};
    // ppoll() ignores a negative descriptor and then just sleeps for the timeout.
    return ppoll(&watched, 1, &timeout, nullptr) > 0;
}

} // namespace

wait_result waitWhileConnected(int descriptor, steady_time_point until)
{
    for (;;) {
        const std::chrono::nanoseconds left = until - std::chrono::steady_clock::now();
        if (left.count() <= 0)
            return wait_result::elapsed;
        if (pollForClose(descriptor, left))
            return wait_result::closed;
    }
}

bool isClosed(int descriptor)
{
    return pollForClose(descriptor, std::chrono::nanoseconds(0));
}

} // namespace tamarackridge::backend
