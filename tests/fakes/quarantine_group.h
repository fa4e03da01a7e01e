#pragma once

#include "tamarackridge/src/base/seeded_random.h"

#include "tamarackridge/quarantine"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarackridge::fakes {

/// \brief A request that is identified by its body and target.
class test_request final : public fingerprint_source
{
public:
    explicit test_request(std::string body, std::string target = "/path")
        : m_body(std::move(body))
        , m_target(std::move(target))
    { }
    fingerprint_parts parts() const override { return {"POST", m_target, "a", m_body}; }

private:
    std::string m_body;
    std::string m_target;
};

/// \brief Nodes in several zones, each with one backend server.
///
/// Entries reach the other nodes at once: those of the same zone always, those of other zones while
/// `connected` is true.
class quarantine_group
{
public:
    struct node
    {
        crash_tracker tracker;
        std::vector<run_id> running;
        std::size_t crashes = 0;
    };

    quarantine_group(std::size_t zones, std::size_t nodesPerZone)
        : m_nodesPerZone(nodesPerZone)
        , nodes(zones * nodesPerZone)
    { }

    std::size_t zoneOf(std::size_t index) const { return index / m_nodesPerZone; }

    /// \returns whether the request was started.
    bool start(std::size_t index, run_id run, const test_request &source)
    {
        node &at = nodes[index];
        const run_decision decision = at.tracker.permissionFor(source, now);
        if (decision.permission == run_permission::refuse
            || decision.permission == run_permission::wait)
            return false;
        at.tracker.onRunStarted(run, source, decision);
        at.running.push_back(run);
        return true;
    }
    void finish(std::size_t index, run_id run)
    {
        std::erase(nodes[index].running, run);
        sendToPeers(index, nodes[index].tracker.onRunFinished(run, true, now));
    }
    void crash(std::size_t index)
    {
        ++nodes[index].crashes;
        nodes[index].running.clear();
        sendToPeers(index, nodes[index].tracker.onCrash(now));
    }

    /// \brief Whether the zones exchange entries.
    bool connected = true;
    time_point now = time_point(std::chrono::hours(1));

private:
    void sendToPeers(std::size_t from, const std::vector<overlay_entry> &entries)
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (index == from || (!connected && zoneOf(index) != zoneOf(from)))
                continue;
            for (const overlay_entry &entry : entries)
                nodes[index].tracker.onEntry(entry.key, entry.payload, now);
        }
    }

    std::size_t m_nodesPerZone;

public:
    std::vector<node> nodes;
};

} // namespace tamarackridge::fakes
