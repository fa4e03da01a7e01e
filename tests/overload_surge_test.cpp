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
        return std::make_unique<fakes::fixed_policy>(server, limit);
    };
}

std::unique_ptr<fakes::admission_policy> makeModule(fakes::event_loop &loop,
                                                    fakes::virtual_server &server)
{
    return std::make_unique<fakes::module_policy>(loop, server);
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
        std::printf("    rank share: newer chain %.3f older chain %.3f\n", rank[0].share(),
                    rank[1].share());
    return figures;
}

} // namespace

// Guards against metastable collapse: work for callers that gave up, and their retries, keep the
// server busy after the trigger has gone. Without control this must happen, or the model is wrong.
TEST(OverloadSurge, ModuleKeepsGoodputAndRecoversWhereBaselinesDoNot)
{
    const surge_model none(fixedLimit(std::numeric_limits<std::uint32_t>::max()));
    const surge_figures noControl = figuresOf("no control", none);
    // As many as the connections of a server: ten for each slot.
    const surge_model fixed(fixedLimit(10 * surge_model::slots));
    const surge_figures fixedLimits = figuresOf("fixed, 10 per slot", fixed);
    const surge_model tuned(fixedLimit(surge_model::slots));
    figuresOf("fixed, 1 per slot", tuned);
    const surge_model module(makeModule);
    const surge_figures controlled = figuresOf("module", module);

    EXPECT_GT(noControl.before, 0.95);
    EXPECT_LT(noControl.atEnd, 0.1);
    EXPECT_LT(fixedLimits.during, 0.5);
    EXPECT_GT(controlled.before, 0.95);
    EXPECT_GT(controlled.during, 0.85);
    EXPECT_GT(controlled.atEnd, 0.95);
    EXPECT_LE(controlled.recoverySeconds, 2);
}

// Guards against a surge of unimportant requests that displaces the most important ones, and
// against dropping a request deep in its chain in favour of one that has just begun.
TEST(OverloadSurge, HighestRankAndOlderChainsAreShedLast)
{
    const surge_model model(makeModule);
    const auto &ranks = model.surgeByRank;
    EXPECT_GT(ranks[3][0].share(), 0.95);
    EXPECT_GT(ranks[3][1].share(), 0.95);
    EXPECT_GT(ranks[2][1].share(), 5 * ranks[2][0].share());
    EXPECT_GT(ranks[2][1].share(), 5 * ranks[1][1].share());
    EXPECT_GE(ranks[1][1].share(), ranks[0][1].share());
}
