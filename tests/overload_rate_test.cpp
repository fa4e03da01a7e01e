#include "tamarackridge/overload"

#include <gtest/gtest.h>

#include <chrono>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

/// Starts as many requests as the limit permits, every 10 ms.
int startedWithin(request_rate_limit &limit, time_point &now, duration time)
{
    int started = 0;
    for (const time_point end = now + time; now < end; now += 10ms) {
        for (; limit.permits(now) && started < 100'000; ++started)
            limit.take();
        if (!limit.perSecond())
            return started;
    }
    return started;
}

} // namespace

// Guards against a burst when a limit is put into force, and against permits saved over a long
// pause.
TEST(request_rate_limit, the_rate_holds_from_the_start_and_after_a_pause)
{
    request_rate_limit limit;
    time_point now(1h);
    limit.set(20, now);
    EXPECT_FALSE(limit.permits(now));
    EXPECT_NEAR(startedWithin(limit, now, 4s), 80, 1);
    now += 1min;
    EXPECT_NEAR(startedWithin(limit, now, 4s), 85, 1);
}

// Guards against permits of the earlier rate that remain after the rate has been lowered, and
// against a rate below one request per saved interval that never permits anything.
TEST(request_rate_limit, a_changed_rate_holds_at_once)
{
    request_rate_limit limit;
    time_point now(1h);
    limit.set(1000, now);
    now += 1s;
    limit.set(0.5, now);
    EXPECT_NEAR(startedWithin(limit, now, 10s), 5, 1);
    limit.clear();
    EXPECT_TRUE(limit.permits(now));
    limit.take();
    EXPECT_TRUE(limit.permits(now));
    limit.set(10, now);
    EXPECT_FALSE(limit.permits(now));
}
