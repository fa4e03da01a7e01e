#include "tamarackridge/src/membership/overlay.h"

#include "broadcast_tree.h"
#include "pseudo_random_selection.h"

#include <algorithm>

namespace tamarackridge {
namespace {

// From this number of new members per tick, summaries are exchanged instead of passing the entries
// on: while many nodes join at once, each node learns of a member from several others at nearly the
// same time, and copies of its entry would be most of the traffic.
constexpr std::size_t minReconciledMembers = 16;
// The size of a summary grows with the directory. If fewer than this share of the members is new,
// summaries cost more than the copies that they save.
constexpr std::size_t membersPerReconciledMember = 8;
// Number of neighbours that summaries are exchanged with per tick. Each exchange makes two
// directories equal, so that all members are known after a few ticks.
constexpr std::size_t neighboursPerReconciliation = 2;
// From this number of entries per tick, each is sent to each node once, along a tree. Fewer entries
// go to all neighbours, and reach everybody at once even if a node has just failed. Entries of new
// members always do, since the ring that determines the tree changes with them. What does not reach
// a node along the tree is found with the next summaries.
constexpr std::size_t minEntriesForTree = 8;

} // namespace

void overlay::relay(const member &update, const overlay_entry &entry, std::string_view from,
                    bool isNewMember, action_list &out)
{
    m_relayedEntries.erase(update.node.name);
    if (update.state == member_state::leaving || update.state == member_state::left)
        flood(entry, from, out);
    else
        m_relayedEntries[update.node.name] = {entry, {std::string(from)}, isNewMember};
}

void overlay::flushRelayedEntries(time_point now, action_list &out)
{
    reconcileNewMembers(now, out);
    if (m_relayedEntries.empty())
        return;
    std::optional<broadcast_tree> tree;
    if (m_relayedEntries.size() >= minEntriesForTree) {
        tree.emplace(m_directory.ring(m_self.node.zone), m_self.node.name, m_options.relaysPerZone);
        m_hasSkippedNeighbours = true;
    }
    for (const auto &[neighbour, state] : m_neighbours) {
        entries message;
        for (const auto &[name, relayed] : m_relayedEntries) {
            const bool isKnown = name == neighbour || relayed.knownBy.contains(neighbour);
            if (!isKnown && (!tree || relayed.isNewMember || tree->passesOn(name, neighbour)))
                message.list.push_back(relayed.entry);
        }
        if (!message.list.empty())
            send(neighbour, std::move(message), out);
    }
    m_relayedEntries.clear();
}

void overlay::reconcileNewMembers(time_point now, action_list &out)
{
    const auto isNewMember = [](const auto &relayed) { return relayed.second.isNewMember; };
    const std::ptrdiff_t count =
            std::count_if(m_relayedEntries.begin(), m_relayedEntries.end(), isNewMember);
    const std::size_t minCount = std::max(
            minReconciledMembers, m_directory.records().size() / membersPerReconciledMember);
    if (static_cast<std::size_t>(count) < minCount)
        return;
    std::erase_if(m_relayedEntries, isNewMember);
    m_hasSkippedNeighbours = true;
    std::vector<std::string> targets = neighbours();
    moveSelectionToFront(targets, neighboursPerReconciliation, m_self.node.name, now);
    targets.resize(std::min(targets.size(), neighboursPerReconciliation));
    for (const std::string &name : targets)
        send(name, summary(true), out);
}

} // namespace tamarackridge
