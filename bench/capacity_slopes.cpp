// Prints the costs per node, zone, customer and so on from which docs/CAPACITY.md extrapolates to
// the future size. Usage: capacity_slopes [sizes|memory|tick|traffic|join|cut]; without an
// argument, prints all sections.
#include "capacity_slopes.h"
#include "scenario/virtual_fleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string_view>

using namespace tamarackridge;
using namespace tamarackridge::bench;
using namespace std::chrono_literals;

namespace {

/// \returns the mean duration of one call of \a step in nanoseconds.
template <typename Step>
double nanoseconds(int steps, Step step)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int index = 0; index < steps; ++index)
        step();
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / steps;
}

double atomicNanoseconds()
{
    std::atomic<std::uint64_t> counter = 0;
    return nanoseconds(5'000'000, [&counter] { counter.fetch_add(1); });
}

void printTickOf(std::size_t members, double atomic)
{
    seeded_random random(1);
    time_point now(1h);
    const std::unique_ptr<node_core> core = coreWith(members, random, now);
    action_list out;
    // 150 ticks take 1.5 s of virtual time: after 2 s without contact this core, which runs alone,
    // would suspect its neighbours.
    const double tick = nanoseconds(150, [&] {
        now += 10ms;
        out.clear();
        core->tick(now, out);
    });
    const node_ref peer = sampleMember(0, 1).node;
    const heartbeat beat = sampleHeartbeat(zonesOfFleet);
    const double heartbeatNanoseconds = nanoseconds(2000, [&] {
        out.clear();
        core->peerMessage(peer, beat, now, out);
    });
    std::printf("members %5zu  tick %10.0f ns %9.0f atomic  share of a core %6.3f%%  heartbeat "
                "%7.0f ns %6.0f atomic\n",
                members, tick, tick / atomic, tick * 100 / 1e9 * 100, heartbeatNanoseconds,
                heartbeatNanoseconds / atomic);
}

void printTick()
{
    const double atomic = atomicNanoseconds();
    print("atomic increment", atomic, "ns");
    for (const std::size_t members : {16, 64, 256, 640, 5800})
        printTickOf(members, atomic);
}

struct mean_and_max
{
    double mean = 0;
    double max = 0;
};

template <typename Value>
mean_and_max meanAndMaxOver(const overlay_traffic &group, Value value)
{
    mean_and_max result;
    for (const auto &[name, node] : group.nodes()) {
        const double item = value(name, *node);
        result.mean += item / static_cast<double>(group.nodes().size());
        result.max = std::max(result.max, item);
    }
    return result;
}

/// \returns the longest time since contact with another zone, in milliseconds, that the nodes see
/// within 2 s.
mean_and_max maxTimeSinceContact(overlay_traffic &group)
{
    mean_and_max result;
    for (int step = 0; step < 20; ++step) {
        group.run(100ms);
        const mean_and_max now =
                meanAndMaxOver(group, [&group](const std::string &, const overlay &node) {
                    duration longest{};
                    for (const std::string &zone : node.otherZones())
                        longest = std::max(longest, node.timeSinceContact(zone, group.now()));
                    return std::chrono::duration<double, std::milli>(longest).count();
                });
        result.mean += now.mean / 20;
        result.max = std::max(result.max, now.max);
    }
    return result;
}

void printTrafficOf(std::size_t zones, std::size_t nodes)
{
    overlay_traffic group(zones, nodes);
    group.run(3s);
    group.resetTraffic();
    group.run(5s);
    const std::map<std::string, traffic_count> steady = group.traffic();
    const auto rate = [&steady](const std::string &name, const overlay &) {
        const traffic_count &counted = steady.at(name);
        return static_cast<double>(counted.sent + counted.received) / 5;
    };
    const mean_and_max bytes = meanAndMaxOver(group, rate);
    const mean_and_max links = meanAndMaxOver(group, [](const std::string &, const overlay &node) {
        return static_cast<double>(node.neighbours().size());
    });
    const mean_and_max timeSinceContact = maxTimeSinceContact(group);
    group.resetTraffic();
    action_list out;
    const std::string first = group.nodes().begin()->first;
    group[first].setSelf("service-1", 151, member_state::leaving, "", out);
    const std::size_t hops = group.deliver(first, out);
    const mean_and_max flood =
            meanAndMaxOver(group, [&group](const std::string &name, const overlay &) {
                const auto found = group.traffic().find(name);
                return found == group.traffic().end()
                               ? 0.0
                               : static_cast<double>(found->second.sent + found->second.received);
            });
    std::printf("zones %zu nodes/zone %3zu  links mean %4.1f most %3.0f  B/s sent+received mean "
                "%6.0f most %6.0f  entry: %zu hops to %zu nodes, %5.0f B per node, most %6.0f  "
                "silence mean %4.0f most %4.0f ms\n",
                zones, nodes, links.mean, links.max, bytes.mean, bytes.max, hops, group.reached(),
                flood.mean, flood.max, timeSinceContact.mean, timeSinceContact.max);
}

void printTraffic()
{
    for (const std::size_t nodes : {16, 64, 256, 640})
        printTrafficOf(1, nodes);
    for (const std::size_t zones : {3, 9})
        printTrafficOf(zones, 16);
    printTrafficOf(9, 64);
    printTrafficOf(2, 640);
}

void printJoinOf(std::size_t nodesPerZone)
{
    const member seed = sampleMember(0, 0);
    overlay_traffic group(zonesOfFleet, nodesPerZone, {{seed.node.name, seed.endpoint}});
    group.run(3s);
    group.resetTraffic();
    const member joining = sampleMember(1, 9999);
    group.add(joining);
    const std::size_t all = group.nodes().size();
    duration waited{};
    while (group[joining.node.name].members().records().size() < all && waited < 10s) {
        group.run(100ms);
        waited += 100ms;
    }
    group.run(3s);
    const traffic_count &joiningTraffic = group.traffic().at(joining.node.name);
    const traffic_count &seedTraffic = group.traffic().at(seed.node.name);
    std::printf("join a fleet of %4zu: whole directory after %4lld ms, node sent %8llu received "
                "%8llu B, seed sent %8llu received %8llu B\n",
                all, static_cast<long long>(waited / 1ms),
                static_cast<unsigned long long>(joiningTraffic.sent),
                static_cast<unsigned long long>(joiningTraffic.received),
                static_cast<unsigned long long>(seedTraffic.sent),
                static_cast<unsigned long long>(seedTraffic.received));
}

void printJoin()
{
    for (const std::size_t nodes : {8, 16, 32, 64})
        printJoinOf(nodes);
}

void printCutOf(std::size_t nodesPerZone)
{
    const member seed = sampleMember(0, 0);
    overlay_traffic group(zonesOfFleet, nodesPerZone, {{seed.node.name, seed.endpoint}});
    group.run(3s);
    const auto rate = [&group](const std::string &name, const overlay &) {
        return static_cast<double>(group.traffic().at(name).sent) / 5;
    };
    group.resetTraffic();
    group.run(5s);
    const mean_and_max before = meanAndMaxOver(group, rate);
    group.cutZone(seed.node.zone);
    group.run(5s);
    group.resetTraffic();
    group.run(5s);
    const mean_and_max during = meanAndMaxOver(group, rate);
    group.cutZone({});
    group.resetTraffic();
    group.run(5s);
    const mean_and_max after = meanAndMaxOver(group, rate);
    std::printf("fleet of %4zu, zone with the seed cut off: B/s sent mean %6.0f most %6.0f before; "
                "mean %7.0f most %7.0f during; mean %7.0f most %7.0f in the 5 s after\n",
                group.nodes().size(), before.mean, before.max, during.mean, during.max, after.mean,
                after.max);
}

void printCut()
{
    for (const std::size_t nodes : {8, 16, 32})
        printCutOf(nodes);
}

} // namespace

int main(int argc, char **argv)
{
    const std::pair<std::string_view, void (*)()> sections[] = {
            {"sizes", &printSizes},     {"memory", &printMemory}, {"tick", &printTick},
            {"traffic", &printTraffic}, {"join", &printJoin},     {"cut", &printCut}};
    for (const auto &[name, show] : sections) {
        if (argc > 1 && name != argv[1])
            continue;
        std::printf("== %s\n", std::string(name).c_str());
        show();
    }
    return 0;
}
