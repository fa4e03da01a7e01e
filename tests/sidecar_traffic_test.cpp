// Control traffic of many nodes when processes are replaced and zones are partitioned.
#include "fakes/sidecar_fleet.h"
#include "wire/frame.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::fakeSet;
using fakes::sidecar_fleet;
using std::chrono::seconds;

constexpr std::size_t nodeCount = 192;
constexpr std::size_t zoneCount = 6;
constexpr std::size_t maxControlBytesPerSecond = std::size_t{16} * 1024; ///< Of one node.

std::string nodeName(std::size_t number)
{
    return std::string(1, static_cast<char>('a' + number % zoneCount)) + std::to_string(number);
}

struct sidecar_traffic : testing::Test
{
    std::unique_ptr<sidecar_fleet> fleet;
    std::size_t bytes = 0;
    std::size_t bytesBetweenZones = 0;

    void SetUp() override
    {
        std::vector<std::pair<std::string, std::string>> nodes;
        for (std::size_t number = 0; number < nodeCount; ++number)
            nodes.emplace_back(nodeName(number), "orders");
        fleet = std::make_unique<sidecar_fleet>(nodes);
        fleet->publishAll(fakeSet(5));
        for (const auto &[name, service] : nodes)
            fleet->report(name, 1);
        fleet->advance(seconds(5));
        fleet->messageSent = [this](const std::string &from, const send_peer &message) {
            const node_ref sender{"zone-" + from.substr(0, 1), from, 1};
            const std::size_t size =
                    encodePeerMessage({sender, message.receiver, 0}, message.message).size();
            bytes += size;
            if (from[0] != message.node[0])
                bytesBetweenZones += size;
        };
    }
    std::size_t nodesThatKnowAll()
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < nodeCount; ++number) {
            if (fleet->core(nodeName(number)).status(fleet->now()).membersKnown == nodeCount)
                ++count;
        }
        return count;
    }
    void recordBytes(std::size_t nodeSeconds)
    {
        RecordProperty("bytes_per_node_and_second", std::to_string(bytes / nodeSeconds));
        RecordProperty("between_zones", std::to_string(bytesBetweenZones / nodeSeconds));
    }
};

// Guards against a directory from every peer for each process that is replaced, as in a planned
// stop of all nodes in turn.
TEST_F(sidecar_traffic, a_replaced_process_learns_the_fleet_from_its_neighbours_only)
{
    fleet->restart("a0");
    fleet->advance(seconds(1));
    recordBytes(nodeCount);
    EXPECT_EQ(fleet->core("a0").status(fleet->now()).membersKnown, nodeCount);
    EXPECT_LT(bytes / nodeCount, maxControlBytesPerSecond);
}

// Guards against summaries between all neighbours at each heartbeat while the directories of a
// fleet differ, after all VMs have lost power.
TEST_F(sidecar_traffic, a_restart_of_all_stays_within_the_control_budget)
{
    constexpr std::size_t settleSeconds = 10;
    fleet->restartAll();
    fleet->advance(seconds(1));
    for (std::size_t number = 0; number < nodeCount; ++number)
        fleet->report(nodeName(number), 2);
    fleet->advance(seconds(settleSeconds - 1));
    recordBytes(nodeCount * settleSeconds);
    EXPECT_EQ(nodesThatKnowAll(), nodeCount);
    EXPECT_LT(bytes / (nodeCount * settleSeconds), maxControlBytesPerSecond);
}

// Guards against summaries to every node of a zone that cannot be reached.
TEST_F(sidecar_traffic, a_partitioned_zone_costs_no_summaries_to_all_of_its_nodes)
{
    constexpr std::size_t cutSeconds = 25;
    for (std::size_t number = 0; number < nodeCount; number += zoneCount)
        fleet->isolatedNodes.insert(nodeName(number));
    fleet->advance(seconds(cutSeconds));
    fleet->isolatedNodes.clear();
    fleet->advance(seconds(5));
    recordBytes(nodeCount * (cutSeconds + 5));
    EXPECT_LT(bytes / (nodeCount * (cutSeconds + 5)), maxControlBytesPerSecond);
}

} // namespace
} // namespace tamarackridge
