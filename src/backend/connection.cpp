#include "backend/connection.h"

#include <poll.h>

#include <algorithm>

namespace tamarackridge::backend {
namespace {

bool pollForClose(int descriptor, std::chrono::nanoseconds wait)
{
    constexpr std::int64_t nanosPerSecond = 1'000'000'000;
    pollfd watched{descriptor, POLLRDHUP, 0};
    const timespec timeout{wait.count() / nanosPerSecond, wait.count() % nanosPerSecond};
    // A negative descriptor is ignored by ppoll, which then only waits.
    return ppoll(&watched, 1, &timeout, nullptr) > 0;
}

} // namespace

wait_end waitOnConnection(int descriptor, steady_time until)
{
    for (;;) {
        const std::chrono::nanoseconds left = until - std::chrono::steady_clock::now();
        if (left.count() <= 0)
            return wait_end::elapsed;
        if (pollForClose(descriptor, left))
            return wait_end::closed;
    }
}

bool isClosed(int descriptor)
{
    return pollForClose(descriptor, std::chrono::nanoseconds(0));
}

} // namespace tamarackridge::backend
