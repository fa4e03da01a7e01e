#include "core/node/node_state.h"

namespace tamarackridge::internal {

template <>
void node_state::handle(const node_ref &from, dispatch &message, time_point now, action_list &out)
{
    m_executor.accept(from, std::move(message), now, out);
}

template <>
void node_state::handle(const node_ref &from, dispatch_response &message, time_point now,
                        action_list &out)
{
    m_dispatcher.dispatchResponse(from.name, std::move(message), now, out);
}

template <>
void node_state::handle(const node_ref &, dispatch_cancel &message, time_point now,
                        action_list &out)
{
    m_executor.cancel(message.id, now, out);
}

template <>
void node_state::handle(const node_ref &from, owner_call &message, time_point now, action_list &out)
{
    m_requestHandler.ownerCall(from, std::move(message), now, out);
}

template <>
void node_state::handle(const node_ref &from, owner_response &message, time_point, action_list &out)
{
    m_ownerCalls.onResponse(from, message, out);
}

template <>
void node_state::handle(const node_ref &, ledger_handover &message, time_point now, action_list &)
{
    m_counters.add(node_counter::handovers_received);
    m_ledger.takeOver(message, now);
}

template <>
void node_state::handle(const node_ref &from, token_request &message, time_point now,
                        action_list &out)
{
    m_quota.onRequest(from, message, now, out);
}

template <>
void node_state::handle(const node_ref &from, token_grant &message, time_point now,
                        action_list &out)
{
    m_quota.onGrant(from, message, now);
    m_requestHandler.tokensArrived(now, out);
}

template <>
void node_state::handle(const node_ref &from, token_report &message, time_point now, action_list &)
{
    m_quota.onReport(from, message, now);
}

template <>
void node_state::handle(const node_ref &from, heartbeat &message, time_point now, action_list &out)
{
    m_membership.onHeartbeat(from, message, now, out);
    m_config.onHeartbeat(from, message, now, out);
    m_routes.onHeartbeat(from.name, message.load);
}

template <>
void node_state::handle(const node_ref &from, entry_summary &message, time_point, action_list &out)
{
    m_membership.onSummary(from, message, out);
}

template <>
void node_state::handle(const node_ref &from, entries &message, time_point now, action_list &out)
{
    applyChanges(m_membership.onEntries(from, message, now, out), now, out);
}

template <>
void node_state::handle(const node_ref &from, config_fetch &message, time_point, action_list &out)
{
    m_config.onFetch(from, message, out);
}

template <>
void node_state::handle(const node_ref &from, config_state &message, time_point now,
                        action_list &out)
{
    m_config.onState(from, message, now, out);
}

template <>
void node_state::handle(const node_ref &from, config_records &message, time_point now,
                        action_list &out)
{
    m_config.onRecords(from, message, now, out);
}

void node_state::peerMessage(const node_ref &from, peer_message message, time_point now,
                             action_list &out)
{
    std::visit([&](auto &content) { handle(from, content, now, out); }, message);
}

} // namespace tamarackridge::internal
