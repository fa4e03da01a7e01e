#include "load/time_series.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::load;

namespace {

std::vector<second_counts> fromShares(const std::vector<double> &shares)
{
    std::vector<second_counts> seconds;
    seconds.reserve(shares.size());
    for (const double share : shares)
        seconds.push_back({100, static_cast<std::size_t>(share * 100.0), 0});
    return seconds;
}

} // namespace

// Guards against mistaking a short peak after the surge for the recovery.
TEST(LoadRecovery, CountsFromTheSecondThatStaysRecovered)
{
    const std::vector<second_counts> seconds =
            fromShares({1.0, 1.0, 0.3, 0.5, 1.0, 0.5, 0.96, 1.0});
    EXPECT_EQ(recoverySeconds(seconds, {0, 2}, {3, 8}), 3U);
}

// Guards against reporting a run as recovered that ends before the recovery.
TEST(LoadRecovery, NoRecoveryIsNotReportedAsZero)
{
    EXPECT_EQ(recoverySeconds(fromShares({1.0, 0.2, 1.0, 0.9}), {0, 1}, {2, 4}), std::nullopt);
    EXPECT_EQ(recoverySeconds(fromShares({1.0, 0.2}), {0, 1}, {2, 4}), std::nullopt);
}

// Guards against reporting a system that never served a request as recovered at once.
TEST(LoadRecovery, WithoutABaselineThereIsNoRecovery)
{
    EXPECT_EQ(recoverySeconds(fromShares({0.0, 0.0, 0.0}), {0, 1}, {2, 3}), std::nullopt);
}

// Guards against comparing with a share of 100% if the system did not reach it before the surge
// either.
TEST(LoadRecovery, BaselineIsTheShareBeforeTheSurge)
{
    EXPECT_EQ(recoverySeconds(fromShares({0.8, 0.8, 0.1, 0.77, 0.8}), {0, 2}, {3, 5}), 0U);
}

// Guards against a second without arrivals that ends or delays the recovery.
TEST(LoadRecovery, SecondsWithoutArrivalsAreSkipped)
{
    std::vector<second_counts> seconds = fromShares({1.0, 0.1, 0.5, 1.0, 1.0});
    seconds[3] = {};
    EXPECT_EQ(recoverySeconds(seconds, {0, 1}, {2, 5}), 2U);
}

// Guards against counting a later surge as missing recovery from an earlier one.
TEST(LoadRecovery, EachSurgeIsMeasuredUpToTheNext)
{
    load_plan plan;
    for (const bool surge : {false, true, false, true, false})
        plan.phases.push_back({"", std::chrono::seconds(2), {}, surge});
    const std::vector<second_counts> seconds =
            fromShares({1.0, 1.0, 0.1, 0.1, 0.5, 1.0, 0.1, 0.1, 1.0, 1.0});
    const std::vector<surge_recovery> all = recoveries(plan, seconds);
    ASSERT_EQ(all.size(), 2U);
    EXPECT_EQ(all[0].seconds, 1U);
    EXPECT_EQ(all[1].seconds, 0U);
}
