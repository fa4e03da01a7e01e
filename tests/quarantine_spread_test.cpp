#include "fakes/quarantine_group.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::fakes;
using namespace std::chrono_literals;

namespace {

std::size_t crashesInZone(const quarantine_group &group, std::size_t zone)
{
    std::size_t sum = 0;
    for (std::size_t index = 0; index < group.nodes.size(); ++index)
        sum += group.zoneOf(index) == zone ? group.nodes[index].crashes : 0;
    return sum;
}

} // namespace

// Guards against a caller that sends a killer again through other nodes and zones until no backend
// server is left.
TEST(QuarantineSpread, ResendsThroughOtherZonesCrashTwicePerZone)
{
    for (const bool connected : {true, false}) {
        quarantine_group group(3, 4);
        group.connected = connected;
        const fixed_source killer("killer");
        run_id run = 0;
        for (int resend = 0; resend < 120; ++resend, group.now += 100ms) {
            const std::size_t index = static_cast<std::size_t>(resend) % 12;
            if (group.start(index, ++run, killer))
                group.crash(index);
        }
        std::size_t total = 0;
        for (std::size_t zone = 0; zone < 3; ++zone) {
            EXPECT_LE(crashesInZone(group, zone), 2U);
            total += crashesInZone(group, zone);
        }
        EXPECT_EQ(total, connected ? 2U : 6U);
    }
}

// Guards against a killer that a node lets through because a peer's older entry replaced the
// conviction, and against a clearing that reaches only one node.
TEST(QuarantineSpread, ClearingReachesEveryNode)
{
    quarantine_group group(1, 4);
    const fixed_source healthy("healthy");
    group.start(0, 1, healthy);
    group.crash(0);
    EXPECT_EQ(group.nodes[3].tracker.permissionFor(healthy, group.now).permission,
              run_permission::run_alone);
    ASSERT_TRUE(group.start(1, 2, healthy));
    group.finish(1, 2);
    for (quarantine_group::node &node : group.nodes)
        EXPECT_EQ(node.tracker.permissionFor(healthy, group.now).permission, run_permission::run);
}

// Guards against an entry whose time starts again with each node that passes it on.
TEST(QuarantineSpread, EntriesCarryTheTimeThatIsLeft)
{
    crash_tracker first;
    crash_tracker second;
    const fixed_source suspect("suspect");
    time_point now(1h);
    first.onRunStarted(1, suspect, {});
    const std::string key = first.onCrash(now).front().key;
    now += 50s;
    const std::optional<overlay_entry> entry = first.entry(key, now);
    ASSERT_TRUE(entry);
    EXPECT_TRUE(second.onEntry(entry->key, entry->payload, now));
    EXPECT_FALSE(first.onEntry(entry->key, entry->payload, now));
    now += 11s;
    EXPECT_EQ(second.permissionFor(suspect, now).permission, run_permission::run);
    EXPECT_FALSE(first.entry(key, now));
}

// Guards against convictions when backend servers die of other causes: in a rack that fails, all
// requests become suspects at once, run again elsewhere and are cleared.
TEST(QuarantineSpread, RackFailureConvictsNobody)
{
    quarantine_group group(1, 40);
    std::vector<fixed_source> requests;
    requests.reserve(400);
    for (int index = 0; index < 400; ++index)
        requests.emplace_back(std::to_string(index));
    for (std::size_t index = 0; index < 400; ++index)
        group.start(index % 20, index, requests[index]);
    for (std::size_t index = 0; index < 20; ++index)
        group.crash(index);
    std::size_t refused = 0;
    for (std::size_t index = 0; index < 400; ++index) {
        const std::size_t retryAt = 20 + index % 20;
        if (group.start(retryAt, 1000 + index, requests[index]))
            group.finish(retryAt, 1000 + index);
        else
            ++refused;
    }
    EXPECT_EQ(refused, 0U);
}

// Guards against convictions at a rate of unrelated crashes far above what any deployment has: one
// of 16 backend servers dies every 2 s, while 16 requests are retried until they are answered.
TEST(QuarantineSpread, UnrelatedCrashesRarelyConvict)
{
    quarantine_group group(1, 16);
    seeded_random random(20261204);
    std::vector<fixed_source> requests;
    requests.reserve(40'000);
    for (int index = 0; index < 40'000; ++index)
        requests.emplace_back(std::to_string(index));
    struct open_run
    {
        std::size_t node;
        std::size_t request;
    };
    std::vector<open_run> open;
    std::size_t next = 0;
    std::size_t convicted = 0;
    for (int step = 0; step < 20'000; ++step, group.now += 10ms) {
        while (open.size() < 16 && next < requests.size())
            open.push_back({16, next++});
        // Each run takes 100 ms on average; a request whose backend server died runs again.
        for (auto run = open.begin(); run != open.end();) {
            if (run->node == 16) {
                const std::size_t node = random.below(16);
                if (group.start(node, run->request, requests[run->request]))
                    run->node = node;
                const run_decision decision =
                        group.nodes[0].tracker.permissionFor(requests[run->request], group.now);
                if (decision.permission == run_permission::refuse) {
                    ++convicted;
                    run = open.erase(run);
                    continue;
                }
            } else if (random.below(10) == 0) {
                group.finish(run->node, run->request);
                run = open.erase(run);
                continue;
            }
            ++run;
        }
        if (step % 200 == 199) {
            const std::size_t node = random.below(16);
            group.crash(node);
            for (open_run &run : open)
                run.node = run.node == node ? 16 : run.node;
        }
    }
    RecordProperty("convicted", static_cast<int>(convicted));
    std::printf("100 unrelated crashes, %zu requests: %zu convicted\n", next, convicted);
    EXPECT_EQ(convicted, 0U);
}
