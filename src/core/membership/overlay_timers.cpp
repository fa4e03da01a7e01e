#include "tamarackridge/src/membership/overlay.h"

#include "pseudo_random_selection.h"

#include <algorithm>

namespace tamarackridge {
namespace {

constexpr duration joinInterval = std::chrono::seconds(1);
// Used by a node that knows other nodes. Longer than joinInterval, since a summary of the entire
// directory goes to each contacted seed.
constexpr duration rejoinInterval = std::chrono::seconds(10);
// Number of seeds that a node contacts at a time. Each seed responds with its entire directory, so
// if all nodes of a fleet start at once and contact every seed, or all relays contact every node of
// a partitioned zone, the traffic grows with the square of the number of nodes. With six links from
// each node the fleet is connected, and entries reach all nodes over these links.
constexpr std::size_t maxSeedsAtOnce = 6;
// A gap of at least this length between two ticks means that this process itself was paused.
constexpr duration minLocalPause = std::chrono::seconds(1);

using seed_entry = std::pair<std::string, std::string>; ///< Name and endpoint.

} // namespace

overlay_changes overlay::tick(const heartbeat_state &state, time_point now, action_list &out)
{
    overlay_changes changes;
    excludeLocalPause(now);
    m_lastTick = now;
    updateNeighbours(now);
    flushRelayedEntries(now, out);
    joinSeeds(now, out);
    suspectUnresponsive(now, changes, out);
    for (std::string &name : m_directory.expireSuspects(m_options.deadTimeout, now)) {
        m_neighboursOutdated = true;
        changes.members.push_back(std::move(name));
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_options.heartbeatInterval;
        m_mayRequestSummary = true;
        sendHeartbeats(state, now, out);
        m_hasSkippedNeighbours = false;
        closeLinks(m_directory.prune(m_options.retention, now), out);
        pruneEntries(now);
    }
    return changes;
}

void overlay::excludeLocalPause(time_point now)
{
    const duration gap = now - m_lastTick;
    if (gap < minLocalPause)
        return;
    // Missing heartbeats from the neighbours during the local pause are not a sign of their
    // failure.
    for (auto &[name, neighbour] : m_neighbours)
        neighbour.lastContact += gap;
}

void overlay::updateNeighbours(time_point now)
{
    if (!m_neighboursOutdated)
        return;
    m_neighboursOutdated = false;
    std::set<std::string> wanted;
    addRingNeighbours(wanted);
    addRelayNeighbours(wanted);
    wanted.erase(m_self.node.name);
    std::erase_if(m_neighbours,
                  [&wanted](const auto &entry) { return !wanted.contains(entry.first); });
    for (const std::string &name : wanted)
        m_neighbours.try_emplace(name, neighbour_state{now, 0});
}

void overlay::addRingNeighbours(std::set<std::string> &wanted) const
{
    const std::vector<std::string> ring = m_directory.ring(m_self.node.zone);
    const std::size_t ownRank = rank();
    const std::size_t size = ring.size();
    for (std::size_t distance = 1; distance < size; distance *= 2) {
        wanted.insert(ring[(ownRank + distance) % size]);
        wanted.insert(ring[(ownRank + size - distance) % size]);
    }
}

void overlay::addRelayNeighbours(std::set<std::string> &wanted) const
{
    const std::size_t ownRank = rank();
    if (ownRank >= m_options.relaysPerZone)
        return;
    for (const std::string &zone : otherZones()) {
        const std::vector<std::string> ring = m_directory.ring(zone);
        if (!ring.empty())
            wanted.insert(ring[std::min(ownRank, ring.size() - 1)]);
    }
}

void overlay::joinSeeds(time_point now, action_list &out)
{
    // Only relays contact seeds: while the zone of a seed is partitioned, summaries from every node
    // of a large fleet would saturate the links. A node that knows no other node has rank 0 and is
    // therefore a relay.
    if (now < m_nextJoin || !isRelay())
        return;
    const bool alone = m_directory.records().size() == 1;
    m_nextJoin = now + (alone ? joinInterval : rejoinInterval);
    std::vector<seed_entry> targets = unreachableSeeds(now);
    const std::size_t count = std::min(maxSeedsAtOnce, targets.size());
    moveSelectionToFront(targets, count, m_self.node.name, now, &seed_entry::first);
    for (std::size_t index = 0; index < count; ++index) {
        const auto &[name, endpoint] = targets[index];
        sendTo(name, endpoint, 0, entries{{encodeMember(m_self)}}, out);
        sendTo(name, endpoint, 0, summary(true), out);
    }
}

std::vector<std::pair<std::string, std::string>> overlay::unreachableSeeds(time_point now) const
{
    std::vector<seed_entry> found;
    for (const auto &[name, endpoint] : m_seeds) {
        const directory::record *known = m_directory.find(name);
        const bool reachable =
                known != nullptr && known->health == liveness::alive
                && timeSinceContact(known->info.node.zone, now) < m_options.suspectTimeout;
        if (!reachable && name != m_self.node.name)
            found.emplace_back(name, known == nullptr ? endpoint : known->info.endpoint);
    }
    return found;
}

duration overlay::zonePartitionTimeout() const
{
    // The last heartbeats of a zone's nodes may have arrived up to one interval apart, so this is
    // well below suspectTimeout.
    return m_options.suspectTimeout - 2 * m_options.heartbeatInterval;
}

bool overlay::isUnresponsive(const neighbour_state &state, const member &info, time_point now) const
{
    if (now - state.lastContact < m_options.suspectTimeout)
        return false;
    if (info.node.zone == m_self.node.zone)
        return true;
    // If there is no contact with an entire zone, it is partitioned and its nodes are not suspected
    // individually. After contact resumes, each node has the full suspectTimeout to send a
    // heartbeat.
    const auto zone = m_zoneActivity.find(info.node.zone);
    return zone != m_zoneActivity.end() && now - zone->second.lastContact < zonePartitionTimeout()
           && now - zone->second.contactResumed >= m_options.suspectTimeout;
}

void overlay::suspectUnresponsive(time_point now, overlay_changes &changes, action_list &out)
{
    std::vector<overlay_entry> suspicions;
    for (const auto &[name, state] : m_neighbours) {
        const directory::record *known = m_directory.find(name);
        if (known == nullptr || !isUnresponsive(state, known->info, now))
            continue;
        if (m_directory.suspect(name, known->info.version(), now))
            suspicions.push_back(encodeSuspicion(known->info));
    }
    for (const overlay_entry &suspicion : suspicions) {
        changes.members.push_back(suspicion.key);
        flood(suspicion, {}, out);
    }
}

void overlay::sendHeartbeats(const heartbeat_state &state, time_point now, action_list &out)
{
    heartbeat message{
            m_directory.digest(), state.configVersion, state.confirmationAge, state.load, {}};
    for (const auto &[zone, activity] : m_zoneActivity) {
        if (zone != m_self.node.zone)
            message.zones.push_back({zone, now - activity.lastContact});
    }
    for (const auto &[name, neighbour] : m_neighbours)
        send(name, message, out);
    std::erase_if(m_heartbeatSenders, [this, now](const auto &entry) {
        return now - entry.second >= m_options.suspectTimeout || m_neighbours.contains(entry.first);
    });
    for (const auto &[name, when] : m_heartbeatSenders)
        send(name, message, out);
}

void overlay::closeLinks(const std::vector<std::string> &removed, action_list &out)
{
    // Without this, reconnection to the removed nodes would be attempted forever.
    for (const std::string &name : removed) {
        if (m_linkEndpoints.erase(name) > 0)
            out.push_back(disconnect_peer{name});
    }
}

void overlay::pruneEntries(time_point now)
{
    std::erase_if(m_entries, [this, now](const auto &entry) {
        return now - entry.second.received >= m_options.retention;
    });
}

} // namespace tamarackridge
