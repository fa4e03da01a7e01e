#include "fakes/sidecar_fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace tamarackridge {
namespace {

using fakes::fakeSet;
using fakes::sidecar_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How the server beside `a2` says that it leaves.
enum class notice : std::uint8_t { report, leave_notice, leave_notice_without_start };

struct sidecar_departure : testing::TestWithParam<notice>
{
    sidecar_fleet fleet{{{"a1", "front"}, {"a2", "orders"}, {"b1", "orders"}}};

    void SetUp() override
    {
        fleet.publishAll(fakeSet(5));
        for (const char *node : {"a1", "a2", "b1"})
            ASSERT_TRUE(fleet.report(node, 1));
        fleet.advance(seconds(1));
    }

    void leave()
    {
        if (GetParam() == notice::report) {
            ASSERT_TRUE(fleet.report("a2", 3, true));
            return;
        }
        const std::optional<std::int64_t> startedAt =
                GetParam() == notice::leave_notice ? std::optional<std::int64_t>(1) : std::nullopt;
        fleet.runEvent("a2", [&](sidecar_core &core, action_list &out) {
            core.serverLeaving("i-1", startedAt, fleet.now(), out);
        });
    }
    /// Sends requests from a node beside which no server of their service runs.
    void expectRunsOn(const std::string &node)
    {
        fleet.advance(milliseconds(200));
        for (const char *route : {"read", "write"}) {
            const std::size_t before = fleet.runs.size();
            fleet.call("a1", route);
            ASSERT_EQ(fleet.runs.size(), before + 1);
            EXPECT_EQ(fleet.runs.back().node, node);
            fleet.finish(before);
        }
    }
};

// Guards against a server that is used again because its process goes on sending reports.
TEST_P(sidecar_departure, later_reports_do_not_revoke_a_departure)
{
    leave();
    EXPECT_TRUE(fleet.report("a2", 4));
    expectRunsOn("b1");
}

INSTANTIATE_TEST_SUITE_P(notices, sidecar_departure,
                         testing::Values(notice::report, notice::leave_notice,
                                         notice::leave_notice_without_start));

} // namespace
} // namespace tamarackridge
