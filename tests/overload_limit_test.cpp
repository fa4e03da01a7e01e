#include "tamarackridge/overload"

#include "fakes/virtual_server.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <limits>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

/// A server with as many requests in flight as the limit and the offered concurrency allow.
class limited_server
{
public:
    limited_server(std::uint32_t slots, duration serviceTime, std::uint64_t seed = 20261204)
        : m_random(seed)
        , m_server(m_loop, m_random, slots, serviceTime)
    {
        limit.restart(m_loop.now(), 0);
    }

    /// \returns completions per second.
    double run(duration time)
    {
        const std::uint64_t before = m_completed;
        fill();
        m_loop.runUntil(m_loop.now() + time);
        return static_cast<double>(m_completed - before)
               / std::chrono::duration<double>(time).count();
    }

    void setServiceTime(duration serviceTime) { m_server.setServiceTime(serviceTime); }

    concurrency_limit limit;
    std::uint32_t offered = std::numeric_limits<std::uint32_t>::max();
    bool responds = true;

private:
    void fill()
    {
        while (limit.inFlight() < offered && limit.tryAcquire()) {
            if (responds)
                m_server.submit([this](duration latency) { end(latency, run_outcome::success); });
            else
                m_loop.after(1s, [this] { end(1s, run_outcome::timeout); });
        }
    }

    void end(duration latency, run_outcome outcome)
    {
        m_completed += outcome == run_outcome::success ? 1 : 0;
        limit.release(m_loop.now(), latency, outcome);
        fill();
    }

    fakes::event_loop m_loop;
    seeded_random m_random;
    fakes::virtual_server m_server;
    std::uint64_t m_completed = 0;
};

} // namespace

// Guards against a limit that leaves slots of a server unused, or builds a long queue inside it,
// for servers of different size and speed.
RC_GTEST_PROP(ConcurrencyLimit, FindsTheSlotsOfSlowAndFastServers, ())
{
    const std::uint32_t slots = *rc::gen::inRange(4U, 200U);
    const duration serviceTime = *rc::gen::inRange(2, 200) * 1ms;
    limited_server server(slots, serviceTime, *rc::gen::arbitrary<std::uint64_t>());
    server.run(30s);
    const double throughput = server.run(30s);
    RC_ASSERT(throughput > 0.9 * slots / std::chrono::duration<double>(serviceTime).count());
    RC_ASSERT(server.limit.limit() <= 2 * slots + 2);
}

// Guards against a limit that collapses when the server becomes permanently slower, and against a
// baseline that stays high after the server is fast again, which would conceal queueing.
TEST(ConcurrencyLimit, BaselineFollowsASlowerAndAFasterServer)
{
    limited_server server(50, 20ms);
    server.run(20s);
    server.setServiceTime(100ms);
    server.run(10s);
    EXPECT_GT(server.run(10s), 0.9 * 500);
    EXPECT_GT(server.limit.baseline(), 80ms);
    server.setServiceTime(20ms);
    server.run(20s);
    EXPECT_GT(server.run(10s), 0.9 * 2500);
    EXPECT_LT(server.limit.baseline(), 35ms);
    EXPECT_LE(server.limit.limit(), 100U);
}

// Guards against a limit that grows without being reached: its value would be untested, and the
// next surge would reach the server unprotected.
TEST(ConcurrencyLimit, GrowsOnlyWhileItIsUsed)
{
    limited_server server(50, 20ms);
    server.offered = 3;
    server.run(60s);
    EXPECT_EQ(server.limit.limit(), concurrency_limit_options().initialLimit);
    server.offered = 100;
    server.run(20s);
    server.offered = 3;
    server.run(1s); // Lets the requests of the full load end.
    const std::uint32_t before = server.limit.limit();
    server.run(60s);
    EXPECT_LE(server.limit.limit(), before) << "after the ramp";
}

// Guards against sending many requests to a frozen server, and against a limit that stays low after
// the server has recovered.
TEST(ConcurrencyLimit, FallsOnTimeoutsAndRecovers)
{
    limited_server server(50, 20ms);
    server.run(20s);
    server.responds = false;
    server.run(20s);
    EXPECT_LE(server.limit.limit(), 2U);
    server.responds = true;
    server.run(6s);
    EXPECT_GT(server.run(5s), 0.9 * 2500);
}

// Guards against a load endpoint with wrong values that raises the limit above the measured value.
TEST(ConcurrencyLimit, SlotHintLowersAndNeverRaisesTheLimit)
{
    concurrency_limit limit;
    limit.setSlotHint(500);
    EXPECT_EQ(limit.limit(), concurrency_limit_options().initialLimit);
    limit.setSlotHint(2);
    EXPECT_EQ(limit.limit(), 2U);
    limit.setSlotHint(0);
    EXPECT_EQ(limit.limit(), concurrency_limit_options().initialLimit);
}

// Guards against a few slow or crashing requests that lower the limit of a healthy server.
TEST(ConcurrencyLimit, RareTimeoutsAndCancellationsChangeNothing)
{
    limited_server server(50, 20ms);
    server.run(20s);
    const std::uint32_t before = server.limit.limit();
    time_point now(2h);
    for (int i = 0; i < 5000; ++i, now += 1ms) {
        server.limit.release(now, 20ms, i % 50 == 0 ? run_outcome::timeout : run_outcome::success);
        server.limit.release(now, 1ms, run_outcome::cancelled);
    }
    EXPECT_GE(server.limit.limit(), before);
}
