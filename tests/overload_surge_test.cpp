#include "fakes/surge_model.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <limits>

using namespace tamarackridge;
using fakes::surge_model;

namespace {

surge_model::policy_factory fixedLimit(std::uint32_t limit)
{
    return [limit](fakes::event_loop &, fakes::virtual_server &server) {
        return std::make_unique<fakes::fixed_limit_policy>(server, limit);
    };
}

std::unique_ptr<fakes::admission_policy> makeOverloadControl(fakes::event_loop &loop,
                                                             fakes::virtual_server &server)
{
    return std::make_unique<fakes::overload_control_policy>(loop, server);
}

struct surge_figures
{
    double before; ///< Goodput as a share of the ideal.
    double during;
    double atEnd;
    int recoverySeconds;
};

surge_figures figuresOf(const char *name, const surge_model &model)
{
    const surge_figures figures{
            model.goodput(5, surge_model::surgeBegin) / surge_model::baseRate,
            model.goodput(surge_model::surgeBegin, surge_model::surgeEnd)
                    / surge_model::idealDuringSurge,
            model.goodput(surge_model::end - 20, surge_model::end) / surge_model::baseRate,
            model.recoverySeconds(),
    };
    std::printf("%-22s before %.3f during %.3f at end %.3f recovery %d s\n", name, figures.before,
                figures.during, figures.atEnd, figures.recoverySeconds);
    for (const auto &rank : model.surgeByRank)
        std::printf("    rank share: newer chain %.3f older chain %.3f\n", rank[0].servedShare(),
                    rank[1].servedShare());
    return figures;
}

} // namespace

// Guards against metastable failure: retries and requests whose callers have given up keep the
// server overloaded after the trigger has ended. The test also checks that this does happen without
// overload control, since otherwise the model would show nothing.
TEST(OverloadSurge, KeepsGoodputAndRecoversWhereFixedLimitsDoNot)
{
    const surge_model unlimited(fixedLimit(std::numeric_limits<std::uint32_t>::max()));
    const surge_figures noControl = figuresOf("no control", unlimited);
    // A typical connection limit of a server: ten for each slot.
    const surge_model tenConnectionsPerSlot(fixedLimit(10 * surge_model::slots));
    const surge_figures fixedLimits = figuresOf("fixed, 10 per slot", tenConnectionsPerSlot);
    const surge_model oneConnectionPerSlot(fixedLimit(surge_model::slots));
    figuresOf("fixed, 1 per slot", oneConnectionPerSlot);
    const surge_model overloadControl(makeOverloadControl);
    const surge_figures controlled = figuresOf("overload control", overloadControl);

    EXPECT_GT(noControl.before, 0.95);
    EXPECT_LT(noControl.atEnd, 0.1);
    EXPECT_LT(fixedLimits.during, 0.5);
    EXPECT_GT(controlled.before, 0.95);
    EXPECT_GT(controlled.during, 0.85);
    EXPECT_GT(controlled.atEnd, 0.95);
    EXPECT_LE(controlled.recoverySeconds, 2);
}

// Guards against a surge of low-priority requests that displaces those of the highest priority, and
// against dropping a request deep in its call chain in favour of one that has just started.
TEST(OverloadSurge, HighestRankAndOlderChainsAreShedLast)
{
    const surge_model model(makeOverloadControl);
    const auto &ranks = model.surgeByRank;
    EXPECT_GT(ranks[3][0].servedShare(), 0.95);
    EXPECT_GT(ranks[3][1].servedShare(), 0.95);
    EXPECT_GT(ranks[2][1].servedShare(), 5 * ranks[2][0].servedShare());
    EXPECT_GT(ranks[2][1].servedShare(), 5 * ranks[1][1].servedShare());
    EXPECT_GE(ranks[1][1].servedShare(), ranks[0][1].servedShare());
}
