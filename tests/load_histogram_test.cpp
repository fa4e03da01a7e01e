#include "load/latency_histogram.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

using namespace tamarackridge;
using namespace tamarackridge::load;

// Guards against a bucket layout whose error exceeds the stated 1/256 of the quantile.
RC_GTEST_PROP(LoadHistogram, QuantileErrorIsBounded, ())
{
    const std::vector<std::int64_t> values =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
                    rc::gen::inRange<std::int64_t>(0, 100'000'000'000)));
    const double share = *rc::gen::element(0.01, 0.5, 0.99, 0.999, 1.0);
    latency_histogram histogram;
    for (const std::int64_t value : values)
        histogram.add(duration(value));
    std::vector<std::int64_t> sorted = values;
    std::sort(sorted.begin(), sorted.end());
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const std::int64_t exact = sorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
    const std::int64_t estimate = histogram.quantile(share).count();
    RC_ASSERT(estimate >= exact);
    RC_ASSERT(estimate - exact <= exact / 256);
}

// Guards against a wrong bucket layout next to the powers of two.
TEST(LoadHistogram, ErrorIsBoundedNextToPowersOfTwo)
{
    for (std::int64_t power = 1; power < (1LL << 40U); power *= 2) {
        for (const std::int64_t value : {power - 1, power, power + 1}) {
            latency_histogram histogram;
            histogram.add(duration(value));
            histogram.add(duration(value * 4 + 1000)); // Keeps the maximum from capping the result.
            const std::int64_t estimate = histogram.quantile(0.5).count();
            EXPECT_GE(estimate, value);
            EXPECT_LE(estimate - value, value / 256) << value;
        }
    }
}

TEST(LoadHistogram, QuantileOfEmptyHistogramIsZero)
{
    EXPECT_EQ(latency_histogram().quantile(0.99), duration::zero());
}
