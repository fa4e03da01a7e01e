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

// Guards against a caller that keeps resending a crashing request through other nodes and zones
// until all backend servers are down.
TEST(QuarantineSpread, ResentRequestCrashesAtMostTwoServersPerZone)
{
    for (const bool connected : {true, false}) {
        quarantine_group group(3, 4);
        group.connected = connected;
        const test_request crashingRequest("crashing");
        run_id run = 0;
        for (int resend = 0; resend < 120; ++resend, group.now += 100ms) {
            const std::size_t index = static_cast<std::size_t>(resend) % 12;
            if (group.start(index, ++run, crashingRequest))
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

// Guards against a crashing request that may run because an older entry from a peer replaced its
// quarantined state, and against a clearing that reaches only one node.
TEST(QuarantineSpread, ClearingReachesEveryNode)
{
    quarantine_group group(1, 4);
    const test_request healthyRequest("healthy");
    group.start(0, 1, healthyRequest);
    group.crash(0);
    EXPECT_EQ(group.nodes[3].tracker.permissionFor(healthyRequest, group.now).permission,
              run_permission::run_alone);
    ASSERT_TRUE(group.start(1, 2, healthyRequest));
    group.finish(1, 2);
    for (quarantine_group::node &node : group.nodes)
        EXPECT_EQ(node.tracker.permissionFor(healthyRequest, group.now).permission,
                  run_permission::run);
}

// Guards against an entry whose duration restarts with each node that forwards it.
TEST(QuarantineSpread, EntriesCarryTheRemainingTime)
{
    crash_tracker first;
    crash_tracker second;
    const test_request suspectRequest("suspect");
    time_point now(1h);
    first.onRunStarted(1, suspectRequest, {});
    const std::string key = first.onCrash(now).front().key;
    now += 50s;
    const std::optional<overlay_entry> entry = first.entry(key, now);
    ASSERT_TRUE(entry);
    EXPECT_TRUE(second.onEntry(entry->key, entry->payload, now));
    EXPECT_FALSE(first.onEntry(entry->key, entry->payload, now));
    now += 11s;
    EXPECT_EQ(second.permissionFor(suspectRequest, now).permission, run_permission::run);
    EXPECT_FALSE(first.entry(key, now));
}

// Guards against quarantining requests when backend servers crash for other reasons: when a rack
// fails, all its requests become suspects at once, run again elsewhere and must be cleared.
TEST(QuarantineSpread, RackFailureQuarantinesNoRequest)
{
    quarantine_group group(1, 40);
    std::vector<test_request> requests;
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

// Guards against quarantining requests because of unrelated crashes, at a rate far above that of
// any deployment: one of 16 backend servers crashes every 2 s, while 16 requests are retried until
// they get a response.
TEST(QuarantineSpread, UnrelatedCrashesQuarantineNoRequest)
{
    quarantine_group group(1, 16);
    seeded_random random(20261204);
    std::vector<test_request> requests;
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
    std::size_t quarantined = 0;
    for (int step = 0; step < 20'000; ++step, group.now += 10ms) {
        while (open.size() < 16 && next < requests.size())
            open.push_back({16, next++});
        // Each run takes 100 ms on average; a request whose backend server crashed runs again.
        for (auto run = open.begin(); run != open.end();) {
            if (run->node == 16) {
                const std::size_t node = random.below(16);
                if (group.start(node, run->request, requests[run->request]))
                    run->node = node;
                const run_decision decision =
                        group.nodes[0].tracker.permissionFor(requests[run->request], group.now);
                if (decision.permission == run_permission::refuse) {
                    ++quarantined;
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
    RecordProperty("quarantined", static_cast<int>(quarantined));
    std::printf("100 unrelated crashes, %zu requests: %zu quarantined\n", next, quarantined);
    EXPECT_EQ(quarantined, 0U);
}
