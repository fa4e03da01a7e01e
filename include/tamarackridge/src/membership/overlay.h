#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/membership/directory.h"
#include "tamarackridge/src/membership/member.h"
#include "tamarackridge/src/node/action.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Timers and limits of the overlay.
struct overlay_options
{
    duration heartbeatInterval = std::chrono::milliseconds(500);
    /// Time without a heartbeat after which a neighbour is suspected.
    duration suspectTimeout = std::chrono::seconds(2);
    /// Time without refutation after which a suspect is declared dead.
    duration deadTimeout = std::chrono::seconds(2);
    /// Time after which dead members and old entries are removed.
    duration retention = std::chrono::minutes(10);
    /// Number of nodes per zone, those of lowest rank, that link to other zones.
    std::uint32_t relaysPerZone = 3;
};

/// \brief Node state that a heartbeat reports in addition to membership.
struct heartbeat_state
{
    std::int64_t configVersion = -1;
    duration confirmationAge{};
    executor_load load;
};

/// \brief Changes caused by a batch of entries or a tick.
struct overlay_changes
{
    std::vector<std::string> members; ///< Names of members that changed or became suspect or dead.
    /// New entries of other kinds, to be processed by other modules.
    std::vector<overlay_entry> otherEntries;
    /// Departure that an earlier process of this node had announced.
    std::optional<server_departure> earlierDeparture{};
    /// Another node knows an earlier process of this node that knew its backend server, and with it
    /// the departure that this process had announced.
    bool earlierServerKnown = false;
};

/// \brief Membership, failure detection and dissemination of entries.
///
/// The nodes of a zone form a ring ordered by hash. Each node links to the nodes at distance 1, 2,
/// 4, … in both directions, and the relays of each zone link to the relays of the other zones. The
/// number of links per node therefore grows with the logarithm of the zone's size, and an entry
/// reaches every node in about as many hops.
class overlay
{
public:
    overlay(member self, std::vector<std::pair<std::string, std::string>> seeds,
            overlay_options options, time_point now);

    /// \brief Replaces the seeds, given as names and endpoints, and contacts them at the next tick.
    void setSeeds(std::vector<std::pair<std::string, std::string>> seeds, time_point now);
    /// \brief Sends this node's entry and a summary of the directory to a neighbour that has
    /// restarted. Does nothing for other nodes: the summary grows with the fleet, and the
    /// neighbours of the restarted node are enough.
    void restoreMembershipOf(std::string_view node, action_list &out);
    /// \brief Updates this node's own entry and disseminates it.
    /// \param server the start of the backend server, if it has reported one.
    void setSelf(std::string_view service, std::uint32_t slots, member_state state,
                 std::string_view successor, action_list &out,
                 const std::optional<server_start> &server = std::nullopt);
    void setHoldsQuota(bool holdsQuota, action_list &out);
    /// \brief Records that the backend server of this VM has announced that it leaves.
    void setDeparture(server_departure departure, action_list &out);
    const member &self() const { return m_self; }

    void onHeartbeat(const node_ref &from, const heartbeat &message, time_point now,
                     action_list &out);
    overlay_changes onEntries(const node_ref &from, const entries &message, time_point now,
                              action_list &out);
    void onSummary(const node_ref &from, const entry_summary &message, action_list &out);
    /// \brief Disseminates an entry of another module. Copies that are received later are dropped.
    void publish(const overlay_entry &entry, action_list &out);
    /// \brief Stores an entry of another module that the other nodes learn in another way. Only
    /// nodes that ask for what they lack receive it.
    void store(const overlay_entry &entry);
    /// \brief Sends the heartbeats that are due and detects neighbours that have stopped sending
    /// theirs.
    overlay_changes tick(const heartbeat_state &state, time_point now, action_list &out);

    /// \brief Sends a message to a node, opening a link first if necessary.
    /// \returns false if the node or its endpoint is not known.
    /// \param expiresAt the receiver has no use for the message afterwards.
    bool send(std::string_view node, peer_message message, action_list &out,
              std::optional<time_point> expiresAt = std::nullopt);
    /// \brief Like send(), but addresses the process that \a receiver names. The directory may name
    /// an earlier process of that node for a while after a restart.
    bool sendToProcess(const node_ref &receiver, peer_message message, action_list &out,
                       std::optional<time_point> expiresAt = std::nullopt);

    const directory &members() const { return m_directory; }
    /// \returns the names of the nodes that this node exchanges heartbeats with.
    std::vector<std::string> neighbours() const;
    /// \returns the names of all known zones except this node's zone.
    std::vector<std::string> otherZones() const { return view().otherZones; }
    /// \returns the position of this node in its zone's ring.
    std::size_t rank() const { return view().rank; }
    bool isRelay() const { return rank() < m_options.relaysPerZone; }
    /// \returns the time since the last known contact with \a zone, either of this node or as
    /// reported in the heartbeats that it receives.
    duration timeSinceContact(std::string_view zone, time_point now) const;

private:
    using entry_key = std::pair<entry_kind, std::string>;
    struct stored_entry
    {
        overlay_entry entry;
        time_point received;
    };
    struct neighbour_state
    {
        time_point lastContact;
        std::uint64_t lastDigest = 0; ///< Directory digest in the neighbour's last heartbeat.
    };

    /// A member's entry that is passed on with the next tick.
    struct relayed_entry
    {
        overlay_entry entry;
        std::set<std::string, std::less<>> knownBy; ///< Nodes that have sent it.
        bool isNewMember = false; ///< The member was not in the directory before.
    };
    struct zone_activity
    {
        time_point lastContact;
        time_point contactResumed; ///< End of the last period without contact.
    };
    /// Values derived from the directory; recomputed only after it has changed.
    struct directory_view
    {
        std::uint64_t revision = 0; ///< Revision of the directory; 0 before the first use.
        std::size_t rank = 0;
        std::vector<std::string> otherZones;
    };

    const directory_view &view() const;
    void flood(const overlay_entry &entry, std::string_view except, action_list &out);
    void applyEntry(const overlay_entry &entry, const node_ref &from, time_point now,
                    overlay_changes &changes, action_list &out);
    void applyMember(const overlay_entry &entry, const node_ref &from, time_point now,
                     overlay_changes &changes, action_list &out);
    void applySuspicion(const overlay_entry &entry, std::string_view from, time_point now,
                        overlay_changes &changes, action_list &out);
    void announceNewVersion(action_list &out);
    /// \brief Passes an entry on: at once when a node leaves, otherwise with the next tick, so that
    /// entries share messages and don't go to neighbours that have sent them meanwhile.
    void relay(const member &update, const overlay_entry &entry, std::string_view from,
               bool isNewMember, action_list &out);
    void flushRelayedEntries(time_point now, action_list &out);
    /// \brief Removes the entries of new members from those to be passed on and exchanges summaries
    /// with a few neighbours instead, if they are many.
    void reconcileNewMembers(time_point now, action_list &out);
    void updateNeighbours(time_point now);
    void addRingNeighbours(std::set<std::string> &wanted) const;
    void addRelayNeighbours(std::set<std::string> &wanted) const;
    void joinSeeds(time_point now, action_list &out);
    /// \returns the names and endpoints of the seeds that are neither alive nor in a zone that this
    /// node has contact with.
    std::vector<std::pair<std::string, std::string>> unreachableSeeds(time_point now) const;
    void suspectUnresponsive(time_point now, overlay_changes &changes, action_list &out);
    void sendHeartbeats(const heartbeat_state &state, time_point now, action_list &out);
    void excludeLocalPause(time_point now);
    void closeLinks(const std::vector<std::string> &removed, action_list &out);
    void pruneEntries(time_point now);
    /// \returns the time without contact after which a zone is considered partitioned.
    duration zonePartitionTimeout() const;
    bool isUnresponsive(const neighbour_state &state, const member &info, time_point now) const;
    entry_summary summary(bool wantsReply) const;
    std::vector<overlay_entry> entriesNewerThan(const entry_summary &remote) const;
    void sendEarlierEntry(const member &update, const node_ref &from, action_list &out);
    bool sendTo(std::string_view node, std::string_view endpoint, incarnation_id receiver,
                peer_message message, action_list &out,
                std::optional<time_point> expiresAt = std::nullopt);
    void updateZoneContact(std::string_view zone, time_point when);

    member m_self;
    std::vector<std::pair<std::string, std::string>> m_seeds;
    overlay_options m_options;
    directory m_directory;
    mutable directory_view m_view;
    std::map<entry_key, stored_entry> m_entries; ///< Entries of other modules.
    std::map<std::string, neighbour_state, std::less<>> m_neighbours;
    std::map<std::string, time_point, std::less<>>
            m_heartbeatSenders; ///< Nodes that send heartbeats but are not neighbours.
    std::map<std::string, zone_activity, std::less<>> m_zoneActivity;
    /// Maps node name to endpoint.
    std::map<std::string, std::string, std::less<>> m_linkEndpoints;
    time_point m_started;
    time_point m_lastTick;
    time_point m_nextHeartbeat;
    time_point m_nextJoin;
    std::map<std::string, relayed_entry, std::less<>> m_relayedEntries; ///< By node name.
    bool m_neighboursOutdated = true;
    bool m_mayRequestSummary = true; ///< Set at each heartbeat: one summary is sent per interval.
    /// Entries were not sent to all neighbours since the last heartbeat, because they were many.
    bool m_hasSkippedNeighbours = false;
};

} // namespace tamarackridge
