#pragma once

#include "overlay_traffic.h"
#include "tamarackridge/node"

#include <chrono>
#include <cstdio>
#include <memory>

/// \file
/// Sample messages and print functions that the source files of capacity_slopes share.

namespace tamarackridge::bench {

inline constexpr std::size_t zonesOfFleet = 9;

inline void print(const char *what, double value, const char *unit)
{
    std::printf("%-58s %12.1f %s\n", what, value, unit);
}

inline heartbeat sampleHeartbeat(std::size_t zones)
{
    heartbeat beat{
            0x8123456789abcdefU, 9'000, std::chrono::milliseconds(1500), {10, 120, 60, 3}, {}};
    for (std::size_t zone = 1; zone < zones; ++zone)
        beat.zones.push_back({sampleMember(zone, 0).node.zone, std::chrono::milliseconds(300)});
    return beat;
}

inline entries sampleEntries(std::size_t members)
{
    entries result;
    for (std::size_t index = 0; index < members; ++index)
        result.list.push_back(
                encodeMember(sampleMember(index % zonesOfFleet, index / zonesOfFleet)));
    return result;
}

inline node_options coreOptions()
{
    node_options options;
    options.self = sampleMember(0, 0).node;
    options.peerEndpoint = sampleMember(0, 0).endpoint;
    return options;
}

/// \returns a node core that knows \a members members in nine zones.
inline std::unique_ptr<node_core> coreWith(std::size_t members, random_source &random,
                                           time_point now)
{
    std::unique_ptr<node_core> core = std::make_unique<node_core>(coreOptions(), random);
    action_list out;
    core->start(now, out);
    core->peerMessage(sampleMember(1, 0).node, sampleEntries(members), now, out);
    out.clear();
    core->tick(now, out);
    return core;
}

/// \brief Encoded bytes of each message between nodes.
void printSizes();
/// \brief Heap bytes per item of each kind of state.
void printMemory();

} // namespace tamarackridge::bench
