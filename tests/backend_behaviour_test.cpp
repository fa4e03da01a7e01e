#include "backend/control.h"
#include "backend/load_reporter.h"
#include "backend/onward.h"
#include "backend/service_time.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace tamarackridge;
using namespace tamarackridge::backend;

// Guards against service times that do not follow the configured distribution.
TEST(BackendServiceTime, MedianAndSpreadFollowTheSettings)
{
    const service_time times{.medianMs = 10.0, .sigma = 0.5};
    seeded_random random(3);
    std::vector<double> samples;
    samples.reserve(10'001);
    for (int index = 0; index < 10'001; ++index)
        samples.push_back(std::chrono::duration<double, std::milli>(
                                  times.sample(random, std::chrono::hours(1)))
                                  .count());
    std::sort(samples.begin(), samples.end());
    EXPECT_NEAR(samples[5000], 10.0, 0.3);
    EXPECT_NEAR(samples[8413], 10.0 * std::exp(0.5), 0.6); // One standard deviation above.
}

// Guards against a cold start that never ends or makes the server faster.
TEST(BackendServiceTime, ColdStartSlowdownDecreasesToOne)
{
    const service_time times{.coldSeconds = 10.0, .coldFactor = 3.0};
    EXPECT_DOUBLE_EQ(times.coldSlowdown(duration::zero()), 3.0);
    EXPECT_DOUBLE_EQ(times.coldSlowdown(std::chrono::seconds(5)), 2.0);
    EXPECT_DOUBLE_EQ(times.coldSlowdown(std::chrono::seconds(10)), 1.0);
    EXPECT_DOUBLE_EQ(times.coldSlowdown(std::chrono::seconds(99)), 1.0);
}

// Guards against a load report that ignores the lag or the factor, or never shows a recorded load.
TEST(BackendLoadReporter, ReportsTheLoadDelayedAndMultiplied)
{
    load_reporter reporter(std::chrono::milliseconds(100), 0.5);
    const steady_time_point start = steady_time_point() + std::chrono::hours(1);
    const auto after = [start](int milliseconds) {
        return start + std::chrono::milliseconds(milliseconds);
    };
    reporter.record({8, 2}, after(0));
    reporter.record({4, 0}, after(50));
    EXPECT_EQ(reporter.reported(after(60)).running, 0U);
    EXPECT_EQ(reporter.reported(after(120)).running, 4U);
    EXPECT_EQ(reporter.reported(after(120)).queued, 1U);
    EXPECT_EQ(reporter.reported(after(160)).running, 2U);
    EXPECT_EQ(reporter.reported(after(9000)).running, 2U);
}

// Guards against a chain of calls that does not end, and against other paths treated as chains.
TEST(BackendOnward, ChainCallsCountDownToZero)
{
    const std::vector<onward_call> calls = chainCalls("/tariffs/chain/3");
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].path, "/tariffs/chain/2");
    EXPECT_TRUE(chainCalls("/tariffs/chain/0").empty());
    EXPECT_TRUE(chainCalls("/tariffs/chain/x").empty());
    EXPECT_TRUE(chainCalls("/tariffs/chain/").empty());
    EXPECT_TRUE(chainCalls("/tariffs").empty());
}

// Guards against a list of onward calls whose methods are ignored.
TEST(BackendOnward, ListEntriesHaveMethodsAndPaths)
{
    const std::vector<onward_call> calls = parseOnwardCalls("/a,,POST:/b");
    ASSERT_EQ(calls.size(), 2U);
    EXPECT_EQ(calls[0].method, "GET");
    EXPECT_EQ(calls[0].path, "/a");
    EXPECT_EQ(calls[1].method, "POST");
    EXPECT_EQ(calls[1].path, "/b");
}

// Guards against a misspelt or invalid control field that is silently ignored.
TEST(BackendControl, ListsEveryError)
{
    std::vector<std::string> errors;
    const control_change change =
            parseControl(R"({"median_ms": -1, "frozn": true, "sigma": 0.2})", errors);
    EXPECT_EQ(errors.size(), 2U);
    EXPECT_EQ(change.sigma, 0.2);
    errors.clear();
    parseControl("no JSON", errors);
    EXPECT_EQ(errors.size(), 1U);
}
