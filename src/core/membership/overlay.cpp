#include "tamarackridge/src/membership/overlay.h"

#include <algorithm>
#include <utility>

namespace tamarackridge {
overlay::overlay(member self, std::vector<std::pair<std::string, std::string>> seeds,
                 overlay_options options, time_point now)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_options(options)
    , m_started(now)
    , m_lastTick(now)
    , m_nextHeartbeat(now)
    , m_nextJoin(now)
{
    m_self.counter = 1;
    m_directory.merge(m_self, now);
}

void overlay::setSeeds(std::vector<std::pair<std::string, std::string>> seeds, time_point now)
{
    m_seeds = std::move(seeds);
    m_nextJoin = now;
}

void overlay::restoreMembershipOf(std::string_view node, action_list &out)
{
    const directory::record *known = m_directory.find(node);
    if (known == nullptr || !m_neighbours.contains(node))
        return;
    const std::string endpoint = known->info.endpoint;
    // Sends the node's earlier entry as well, so that it raises its counter above that of the
    // entry.
    sendTo(node, endpoint, 0, entries{{encodeMember(m_self), encodeMember(known->info)}}, out);
    sendTo(node, endpoint, 0, summary(true), out);
}

void overlay::setSelf(std::string_view service, std::uint32_t slots, member_state state,
                      std::string_view successor, action_list &out,
                      const std::optional<server_start> &server)
{
    if (m_self.service == service && m_self.slots == slots && m_self.state == state
        && m_self.successor == successor && m_self.server == server)
        return;
    m_self.server = server;
    m_self.service = service;
    m_self.slots = slots;
    m_self.state = state;
    m_self.successor = successor;
    announceNewVersion(out);
}

void overlay::setHoldsQuota(bool holdsQuota, action_list &out)
{
    if (m_self.holdsQuota == holdsQuota)
        return;
    m_self.holdsQuota = holdsQuota;
    announceNewVersion(out);
}

void overlay::setDeparture(server_departure departure, action_list &out)
{
    if (m_self.departure == departure)
        return;
    m_self.departure = std::move(departure);
    announceNewVersion(out);
}

void overlay::announceNewVersion(action_list &out)
{
    ++m_self.counter;
    m_directory.merge(m_self, m_lastTick);
    flood(encodeMember(m_self), {}, out);
}

bool overlay::sendTo(std::string_view node, std::string_view endpoint, incarnation_id receiver,
                     peer_message message, action_list &out, std::optional<time_point> expiresAt)
{
    if (endpoint.empty() || node == m_self.node.name)
        return false;
    const auto connected = m_linkEndpoints.find(node);
    if (connected == m_linkEndpoints.end() || connected->second != endpoint) {
        m_linkEndpoints[std::string(node)] = std::string(endpoint);
        out.push_back(connect_peer{std::string(node), std::string(endpoint)});
    }
    out.push_back(send_peer{std::string(node), receiver, std::move(message), expiresAt});
    return true;
}

bool overlay::send(std::string_view node, peer_message message, action_list &out,
                   std::optional<time_point> expiresAt)
{
    const directory::record *found = m_directory.find(node);
    return found != nullptr && sendToProcess(found->info.node, std::move(message), out, expiresAt);
}

bool overlay::sendToProcess(const node_ref &receiver, peer_message message, action_list &out,
                            std::optional<time_point> expiresAt)
{
    const directory::record *found = m_directory.find(receiver.name);
    if (found == nullptr)
        return false;
    return sendTo(receiver.name, found->info.endpoint, receiver.incarnation, std::move(message),
                  out, expiresAt);
}

void overlay::flood(const overlay_entry &entry, std::string_view except, action_list &out)
{
    for (const auto &[name, state] : m_neighbours) {
        if (name != except)
            send(name, entries{{entry}}, out);
    }
}

void overlay::publish(const overlay_entry &entry, action_list &out)
{
    store(entry);
    flood(entry, {}, out);
}

void overlay::store(const overlay_entry &entry)
{
    m_entries[{entry.kind, entry.key}] = {entry, m_lastTick};
}

void overlay::updateZoneContact(std::string_view zone, time_point when)
{
    const auto found = m_zoneActivity.find(zone);
    if (found == m_zoneActivity.end()) {
        m_zoneActivity.emplace(std::string(zone), zone_activity{when, when});
        return;
    }
    zone_activity &activity = found->second;
    if (when - activity.lastContact >= zonePartitionTimeout())
        activity.contactResumed = when;
    activity.lastContact = std::max(activity.lastContact, when);
}

void overlay::onHeartbeat(const node_ref &from, const heartbeat &message, time_point now,
                          action_list &out)
{
    updateZoneContact(from.zone, now);
    for (const zone_contact &contact : message.zones)
        updateZoneContact(contact.zone, now - contact.timeSinceContact);
    const directory::record *known = m_directory.find(from.name);
    // Informs a live node that it is considered suspect or dead, so that it refutes this by raising
    // its counter.
    if (known != nullptr && known->health != liveness::alive)
        send(from.name, entries{{encodeSuspicion(known->info)}}, out);
    const auto neighbour = m_neighbours.find(from.name);
    if (neighbour == m_neighbours.end()) {
        // Directories differ for a while after a change, so the sender may consider this node a
        // neighbour. It would suspect this node if it received no heartbeats in return.
        m_heartbeatSenders[from.name] = now;
        return;
    }
    neighbour->second.lastContact = now;
    // Digests differ for a moment while an entry is being flooded. A summary is sent only if the
    // neighbour's digest is the same as in its last heartbeat and still differs from the local one.
    // After many changes at once the digests of all neighbours differ, and one summary per interval
    // bounds the traffic. If entries were not sent to all neighbours, nothing else removes the
    // difference.
    const bool isRepeated =
            neighbour->second.lastDigest == message.directoryDigest || m_hasSkippedNeighbours;
    neighbour->second.lastDigest = message.directoryDigest;
    if (message.directoryDigest != m_directory.digest() && isRepeated
        && std::exchange(m_mayRequestSummary, false))
        send(from.name, summary(true), out);
}

overlay_changes overlay::onEntries(const node_ref &from, const entries &message, time_point now,
                                   action_list &out)
{
    updateZoneContact(from.zone, now);
    overlay_changes changes;
    for (const overlay_entry &entry : message.list)
        applyEntry(entry, from, now, changes, out);
    return changes;
}

void overlay::applyEntry(const overlay_entry &entry, const node_ref &from, time_point now,
                         overlay_changes &changes, action_list &out)
{
    if (entry.kind == entry_kind::member) {
        applyMember(entry, from, now, changes, out);
        return;
    }
    if (entry.kind == entry_kind::suspicion) {
        applySuspicion(entry, from.name, now, changes, out);
        return;
    }
    const auto found = m_entries.find({entry.kind, entry.key});
    if (found != m_entries.end() && !isNewer(entry.version, found->second.entry.version))
        return;
    m_entries[{entry.kind, entry.key}] = {entry, now};
    flood(entry, from.name, out);
    changes.otherEntries.push_back(entry);
}

void overlay::applyMember(const overlay_entry &entry, const node_ref &from, time_point now,
                          overlay_changes &changes, action_list &out)
{
    const std::optional<member> update = decodeMember(entry);
    if (!update)
        return;
    if (update->node.name == m_self.node.name) {
        if (update->node.incarnation == m_self.node.incarnation)
            return;
        if (update->departure && !m_self.departure)
            changes.earlierDeparture = update->departure;
        changes.earlierServerKnown =
                changes.earlierServerKnown || update->server || update->departure;
        // An entry of an earlier incarnation of this node: the counter is raised above it.
        if (isNewer(update->version(), m_self.version())) {
            m_self.counter = update->counter;
            announceNewVersion(out);
        }
        return;
    }
    const directory::record *known = m_directory.find(update->node.name);
    const bool isNewMember = known == nullptr;
    const bool restarted =
            known != nullptr && known->info.node.incarnation != update->node.incarnation;
    if (!m_directory.merge(*update, now)) {
        const auto relayed = m_relayedEntries.find(update->node.name);
        if (relayed != m_relayedEntries.end() && relayed->second.entry.version == entry.version)
            relayed->second.knownBy.insert(from.name);
        sendEarlierEntry(*update, from, out);
        return;
    }
    // The silence of the earlier process says nothing about the new one, which gets the whole
    // suspectTimeout to send a heartbeat.
    const auto neighbour = m_neighbours.find(update->node.name);
    if (restarted && neighbour != m_neighbours.end())
        neighbour->second.lastContact = now;
    m_neighboursOutdated = true;
    relay(*update, entry, from.name, isNewMember, out);
    changes.members.push_back(update->node.name);
}

void overlay::sendEarlierEntry(const member &update, const node_ref &from, action_list &out)
{
    const directory::record *known = m_directory.find(update.node.name);
    if (update.node != from || known->info.node.incarnation == from.incarnation)
        return;
    // The sender has restarted and does not know the counter that its earlier incarnation reached.
    sendTo(from.name, update.endpoint, from.incarnation, entries{{encodeMember(known->info)}}, out);
}

void overlay::applySuspicion(const overlay_entry &entry, std::string_view from, time_point now,
                             overlay_changes &changes, action_list &out)
{
    if (entry.key == m_self.node.name) {
        if (entry.version == m_self.version())
            announceNewVersion(out);
        return;
    }
    if (!m_directory.suspect(entry.key, entry.version, now))
        return;
    flood(entry, from, out);
    changes.members.push_back(entry.key);
}

void overlay::onSummary(const node_ref &from, const entry_summary &message, action_list &out)
{
    std::vector<overlay_entry> newer = entriesNewerThan(message);
    if (!newer.empty())
        send(from.name, entries{std::move(newer)}, out);
    if (message.wantsReply)
        send(from.name, summary(false), out);
}

entry_summary overlay::summary(bool wantsReply) const
{
    entry_summary result;
    result.wantsReply = wantsReply;
    for (const auto &[name, record] : m_directory.records())
        result.stamps.push_back({entry_kind::member, name, record.info.version()});
    for (const auto &[key, stored] : m_entries)
        result.stamps.push_back({key.first, key.second, stored.entry.version});
    return result;
}

std::vector<overlay_entry> overlay::entriesNewerThan(const entry_summary &remote) const
{
    std::map<entry_key, entry_version> versions;
    for (const entry_stamp &stamp : remote.stamps)
        versions[{stamp.kind, stamp.key}] = stamp.version;
    const auto isMissing = [&versions](const entry_key &key, const entry_version &version) {
        const auto found = versions.find(key);
        return found == versions.end() || isNewer(version, found->second);
    };
    std::vector<overlay_entry> newer;
    for (const auto &[name, record] : m_directory.records()) {
        if (isMissing({entry_kind::member, name}, record.info.version()))
            newer.push_back(encodeMember(record.info));
    }
    for (const auto &[key, stored] : m_entries) {
        if (isMissing(key, stored.entry.version))
            newer.push_back(stored.entry);
    }
    return newer;
}

std::vector<std::string> overlay::neighbours() const
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_neighbours)
        names.push_back(name);
    return names;
}

const overlay::directory_view &overlay::view() const
{
    if (m_view.revision == m_directory.revision())
        return m_view;
    const std::vector<std::string> ring = m_directory.ring(m_self.node.zone);
    const auto position = std::find(ring.begin(), ring.end(), m_self.node.name);
    std::set<std::string> zones = m_directory.zones();
    zones.erase(m_self.node.zone);
    m_view = {m_directory.revision(),
              static_cast<std::size_t>(position - ring.begin()),
              {zones.begin(), zones.end()}};
    return m_view;
}

duration overlay::timeSinceContact(std::string_view zone, time_point now) const
{
    if (zone == m_self.node.zone)
        return duration::zero();
    const auto found = m_zoneActivity.find(zone);
    return now - (found == m_zoneActivity.end() ? m_started : found->second.lastContact);
}

} // namespace tamarackridge
