#include "core/node/owner_calls.h"

#include "core/node/error_response.h"

namespace tamarackridge::internal {
namespace {

// Equals the lifetime of a request id, see ledger_options.
constexpr duration successorRetention = std::chrono::minutes(10);
// Allows for the network delay of a response that the owner sends at the deadline.
constexpr duration responseGrace = std::chrono::milliseconds(100);

} // namespace

tl::expected<std::string, error_kind> owner_calls::currentOwner(const request_id &id) const
{
    const auto successor = m_successors.find(id.owner.incarnation);
    const bool handedOver = successor != m_successors.end();
    const std::string &owner = handedOver ? successor->second.node : id.owner.name;
    const directory::record *known = m_membership.members().find(owner);
    if (known == nullptr)
        return tl::unexpected(error_kind::owner_unreachable);
    // The node has restarted without its ledger, which its earlier incarnation did not hand over.
    if (!handedOver && known->info.node.incarnation != id.owner.incarnation)
        return tl::unexpected(error_kind::outcome_unknown);
    if (known->health == liveness::dead)
        return tl::unexpected(error_kind::owner_unreachable);
    return owner;
}

void owner_calls::forward(call_id call, const request_id &id, owner_call message, time_point now,
                          action_list &out)
{
    const tl::expected<std::string, error_kind> owner = currentOwner(id);
    if (!owner) {
        out.push_back(respond_to_caller{call, errorResponse(owner.error(), run_state::unknown)});
        return;
    }
    m_counters.add(node_counter::owner_calls);
    message.call = m_nextCall++;
    m_pending.emplace(message.call,
                      pending_call{call, *owner, now + message.deadlineLeft + responseGrace});
    m_membership.send(*owner, std::move(message), out);
}

void owner_calls::onResponse(const node_ref &from, const owner_response &message, action_list &out)
{
    const auto found = m_pending.find(message.call);
    if (found == m_pending.end() || found->second.owner != from.name) {
        m_counters.add(node_counter::unmatched_answers);
        return;
    }
    out.push_back(respond_to_caller{
            found->second.call, callerResponse(message.error, message.state, message.response)});
    m_pending.erase(found);
}

void owner_calls::callerDisconnected(call_id call)
{
    std::erase_if(m_pending, [call](const auto &entry) { return entry.second.call == call; });
}

void owner_calls::updateSuccessor(const member &info, time_point now)
{
    if (info.state != member_state::left || info.successor.empty())
        return;
    // The node that left has handed over the ledgers that it had taken over together with its own.
    for (auto &[incarnation, known] : m_successors) {
        if (known.node == info.node.name)
            known.node = info.successor;
    }
    m_successors[info.node.incarnation] = {info.successor, now};
}

void owner_calls::tick(time_point now, action_list &out)
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        if (now < entry->second.deadline) {
            ++entry;
            continue;
        }
        out.push_back(respond_to_caller{entry->second.call,
                                        errorResponse(error_kind::owner_unreachable)});
        entry = m_pending.erase(entry);
    }
    std::erase_if(m_successors, [now](const auto &entry) {
        return now - entry.second.since >= successorRetention;
    });
}

} // namespace tamarackridge::internal
