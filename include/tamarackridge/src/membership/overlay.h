#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/membership/directory.h"
#include "tamarackridge/src/membership/member.h"
#include "tamarackridge/src/node/action.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Timers of the overlay.
struct overlay_options
{
    duration heartbeatInterval = std::chrono::milliseconds(500);
    duration suspectAfter = std::chrono::seconds(2); ///< Silence of a neighbour.
    duration deadAfter = std::chrono::seconds(2); ///< Suspicion without refutation.
    duration retention = std::chrono::minutes(10); ///< Of dead members.
    std::uint32_t relaysPerZone = 3; ///< Nodes of lowest rank that link to other zones.
};

/// \brief What a heartbeat reports besides membership.
struct heartbeat_state
{
    std::int64_t configVersion = -1;
    duration confirmationAge{};
    executor_load load;
};

/// \brief What a batch of entries changed.
struct overlay_changes
{
    std::vector<std::string> members; ///< Members that changed, died or recovered.
    std::vector<overlay_entry> otherEntries; ///< New entries of other kinds, for their modules.
};

/// \brief Membership, failure detection and spreading of entries.
///
/// The nodes of a zone form a ring ordered by hash; each node links to those at distance 1, 2, 4, …
/// in both directions. The relays of each zone link to the relays of the others. So the number of
/// links grows with the logarithm of the zone, and an entry reaches everybody in that many hops.
class overlay
{
public:
    overlay(member self, std::vector<std::pair<std::string, std::string>> seeds,
            overlay_options options, time_point now);

    /// \brief Replaces the seeds, as names and endpoints, and joins through them at the next tick.
    void setSeeds(std::vector<std::pair<std::string, std::string>> seeds, time_point now);
    /// \brief Tells a node that has started again who is in the fleet.
    void sendMembershipTo(std::string_view node, action_list &out);
    /// \brief Changes what this node says about itself and spreads it.
    void setSelf(std::string_view service, std::uint32_t slots, member_state state,
                 std::string_view successor, action_list &out);
    void setHoldsQuota(bool holdsQuota, action_list &out);
    const member &self() const { return m_self; }

    void onHeartbeat(const node_ref &from, const heartbeat &message, time_point now,
                     action_list &out);
    overlay_changes onEntries(const node_ref &from, const entries &message, time_point now,
                              action_list &out);
    void onSummary(const node_ref &from, const entry_summary &message, action_list &out);
    /// \brief Spreads an entry of another module; later copies of it are dropped.
    void publish(const overlay_entry &entry, action_list &out);
    /// \brief Sends heartbeats and detects silent neighbours.
    overlay_changes tick(const heartbeat_state &state, time_point now, action_list &out);

    /// \brief Sends to a node, opening the link first when needed.
    /// \returns false when the node is not known.
    bool send(std::string_view node, peer_message message, action_list &out);

    const directory &members() const { return m_directory; }
    /// \returns the names of the nodes that this node exchanges heartbeats with.
    std::vector<std::string> neighbours() const;
    /// \returns the names of all configured or known zones but the own one.
    std::vector<std::string> otherZones() const { return view().otherZones; }
    /// \returns the position of this node in its zone's ring.
    std::size_t rank() const { return view().rank; }
    bool isRelay() const { return rank() < m_options.relaysPerZone; }
    /// \returns the time since \a zone was last heard of, directly or through neighbours.
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
        time_point lastHeard;
        std::uint64_t lastDigest = 0; ///< Of the neighbour's last heartbeat.
    };

    struct zone_hearing
    {
        time_point last;
        time_point resumed; ///< End of the last silence.
    };
    /// What is derived from the whole directory; worked out again only after it has changed.
    struct directory_view
    {
        std::uint64_t revision = 0; ///< Of the directory; 0 before the first use.
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
    void refute(action_list &out);
    void updateNeighbours(time_point now);
    void addRingNeighbours(std::set<std::string> &wanted) const;
    void addRelayNeighbours(std::set<std::string> &wanted) const;
    void joinSeeds(time_point now, action_list &out);
    void suspectSilent(time_point now, overlay_changes &changes, action_list &out);
    void sendHeartbeats(const heartbeat_state &state, time_point now, action_list &out);
    void discountOwnPause(time_point now);
    void closeLinks(const std::vector<std::string> &forgotten, action_list &out);
    void pruneEntries(time_point now);
    /// \returns the silence from which on a zone counts as cut off as a whole.
    duration zoneCutAfter() const;
    bool isSilent(const neighbour_state &state, const member &info, time_point now) const;
    entry_summary summary(bool wantsReply) const;
    std::vector<overlay_entry> newerThan(const entry_summary &theirs) const;
    void announceNewIncarnation(const member &update, const node_ref &from, action_list &out);
    bool sendTo(std::string_view node, std::string_view endpoint, incarnation_id receiver,
                peer_message message, action_list &out);
    void heardZone(std::string_view zone, time_point when);

    member m_self;
    std::vector<std::pair<std::string, std::string>> m_seeds;
    overlay_options m_options;
    directory m_directory;
    mutable directory_view m_view;
    std::map<entry_key, stored_entry> m_entries; ///< Entries of other modules.
    std::map<std::string, neighbour_state, std::less<>> m_neighbours;
    std::map<std::string, time_point, std::less<>>
            m_listeners; ///< Non-neighbours that sent a heartbeat.
    std::map<std::string, zone_hearing, std::less<>> m_zoneHeard;
    std::map<std::string, std::string, std::less<>> m_connected; ///< Node to endpoint.
    time_point m_started;
    time_point m_lastTick;
    time_point m_nextHeartbeat;
    time_point m_nextJoin;
    bool m_neighboursStale = true;
};

} // namespace tamarackridge
