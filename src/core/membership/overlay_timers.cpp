#include "tamarackridge/src/membership/overlay.h"

#include <xxhash.h>

#include <algorithm>

namespace tamarackridge {
namespace {

constexpr duration joinInterval = std::chrono::seconds(1);
// Of a node that knows others. A summary of the whole directory goes to each unreachable seed.
constexpr duration rejoinInterval = std::chrono::seconds(10);
// Seeds that a node asks at a time while it knows nobody. Each answers with its whole directory, so
// that all seeds of a fleet that starts at once would send its square of directories; with six
// links from each node the fleet is connected, and entries spread over these.
constexpr std::size_t seedsWhileAlone = 6;
// A tick that comes later than this says that this process itself was paused.
constexpr duration ownPause = std::chrono::seconds(1);

using seed_entry = std::pair<std::string, std::string>; ///< Name and endpoint.

/// Moves \a count seeds to the front, others at each time and for each node.
void moveSomeToFront(std::vector<seed_entry> &seeds, std::size_t count, std::string_view node,
                     time_point now)
{
    const std::uint64_t base = XXH3_64bits_withSeed(
            node.data(), node.size(), static_cast<std::uint64_t>(now.time_since_epoch().count()));
    const auto place = [base](const seed_entry &seed) {
        return XXH3_64bits_withSeed(seed.first.data(), seed.first.size(), base);
    };
    const auto middle = seeds.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(seeds.begin(), middle, seeds.end(),
                      [&place](const seed_entry &one, const seed_entry &other) {
                          return place(one) < place(other);
                      });
}

} // namespace

overlay_changes overlay::tick(const heartbeat_state &state, time_point now, action_list &out)
{
    overlay_changes changes;
    discountOwnPause(now);
    m_lastTick = now;
    updateNeighbours(now);
    joinSeeds(now, out);
    suspectSilent(now, changes, out);
    for (std::string &name : m_directory.expireSuspects(m_options.deadAfter, now)) {
        m_neighboursStale = true;
        changes.members.push_back(std::move(name));
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_options.heartbeatInterval;
        sendHeartbeats(state, now, out);
        closeLinks(m_directory.prune(m_options.retention, now), out);
        pruneEntries(now);
    }
    return changes;
}

void overlay::discountOwnPause(time_point now)
{
    const duration gap = now - m_lastTick;
    if (gap < ownPause)
        return;
    // The neighbours' silence during the pause says nothing about them.
    for (auto &[name, neighbour] : m_neighbours)
        neighbour.lastHeard += gap;
}

void overlay::updateNeighbours(time_point now)
{
    if (!m_neighboursStale)
        return;
    m_neighboursStale = false;
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
    const std::size_t own = rank();
    const std::size_t size = ring.size();
    for (std::size_t distance = 1; distance < size; distance *= 2) {
        wanted.insert(ring[(own + distance) % size]);
        wanted.insert(ring[(own + size - distance) % size]);
    }
}

void overlay::addRelayNeighbours(std::set<std::string> &wanted) const
{
    const std::size_t own = rank();
    if (own >= m_options.relaysPerZone)
        return;
    for (const std::string &zone : otherZones()) {
        const std::vector<std::string> ring = m_directory.ring(zone);
        if (!ring.empty())
            wanted.insert(ring[std::min(own, ring.size() - 1)]);
    }
}

void overlay::joinSeeds(time_point now, action_list &out)
{
    // While a zone with a seed is cut off, a summary from each node of a large fleet would fill the
    // links. A node that knows nobody else has rank 0 and joins too.
    if (now < m_nextJoin || !isRelay())
        return;
    const bool alone = m_directory.records().size() == 1;
    m_nextJoin = now + (alone ? joinInterval : rejoinInterval);
    const std::size_t count = alone ? std::min(seedsWhileAlone, m_seeds.size()) : m_seeds.size();
    if (count < m_seeds.size())
        moveSomeToFront(m_seeds, count, m_self.node.name, now);
    for (std::size_t index = 0; index < count; ++index) {
        const auto &[name, endpoint] = m_seeds[index];
        const directory::record *known = m_directory.find(name);
        const bool reachable =
                known != nullptr && known->health == liveness::alive
                && timeSinceContact(known->info.node.zone, now) < m_options.suspectAfter;
        if (reachable || name == m_self.node.name)
            continue;
        const std::string &target = known == nullptr ? endpoint : known->info.endpoint;
        sendTo(name, target, 0, entries{{encodeMember(m_self)}}, out);
        sendTo(name, target, 0, summary(true), out);
    }
}

duration overlay::zoneCutAfter() const
{
    // The last heartbeats of a zone's nodes came up to an interval apart, so this is well below
    // suspectAfter.
    return m_options.suspectAfter - 2 * m_options.heartbeatInterval;
}

bool overlay::isSilent(const neighbour_state &state, const member &info, time_point now) const
{
    if (now - state.lastHeard < m_options.suspectAfter)
        return false;
    if (info.node.zone == m_self.node.zone)
        return true;
    // A zone that is silent as a whole is cut off; its nodes are not judged one by one. When it is
    // heard again, each of them has the full time to be heard.
    const auto zone = m_zoneHeard.find(info.node.zone);
    return zone != m_zoneHeard.end() && now - zone->second.last < zoneCutAfter()
           && now - zone->second.resumed >= m_options.suspectAfter;
}

void overlay::suspectSilent(time_point now, overlay_changes &changes, action_list &out)
{
    std::vector<overlay_entry> suspicions;
    for (const auto &[name, state] : m_neighbours) {
        const directory::record *known = m_directory.find(name);
        if (known == nullptr || !isSilent(state, known->info, now))
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
    for (const auto &[zone, hearing] : m_zoneHeard) {
        if (zone != m_self.node.zone)
            message.zones.push_back({zone, now - hearing.last});
    }
    for (const auto &[name, neighbour] : m_neighbours)
        send(name, message, out);
    std::erase_if(m_listeners, [this, now](const auto &entry) {
        return now - entry.second >= m_options.suspectAfter || m_neighbours.contains(entry.first);
    });
    for (const auto &[name, when] : m_listeners)
        send(name, message, out);
}

void overlay::closeLinks(const std::vector<std::string> &forgotten, action_list &out)
{
    // A link that stays open would be tried again for ever.
    for (const std::string &name : forgotten) {
        if (m_connected.erase(name) > 0)
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
