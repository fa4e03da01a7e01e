#pragma once

#include "core/node/caller_request_handler.h"
#include "core/node/config_service.h"
#include "core/node/dispatcher.h"
#include "core/node/executor.h"
#include "core/node/node_counters.h"
#include "core/node/owner_calls.h"
#include "core/node/quota_service.h"
#include "core/node/routing_updater.h"
#include "tamarackridge/src/ledger/handle_table.h"
#include "tamarackridge/src/ledger/ledger.h"
#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/node/node_core.h"
#include "tamarackridge/src/routing/router.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::internal {

/// \brief Implementation of node_core: the components of a node and the connections between them.
class node_state
{
public:
    node_state(node_options options, random_source &random);
    node_state(const node_state &) = delete;
    node_state &operator=(const node_state &) = delete;
    ~node_state() = default;

    caller_request_handler &requestHandler() { return m_requestHandler; }
    executor &localExecutor() { return m_executor; }

    void peerMessage(const node_ref &from, peer_message message, time_point now, action_list &out);
    void backendAnnounced(const backend_announcement &announcement, time_point now,
                          action_list &out);
    void backendCrashed(time_point now, action_list &out);
    void onLogRecords(const std::string &stream, std::span<const log_record> records,
                      std::int64_t first, std::int64_t end, time_point now, action_list &out);
    void appendDone(append_id append, bool accepted);
    void tick(time_point now, action_list &out);
    time_point nextTick() const { return m_nextTick; }
    void beginShutdown(time_point now, action_list &out);
    bool drained() const { return m_drained; }
    node_status status(time_point now);

private:
    enum class phase : std::uint8_t { running, draining, handed_over };

    template <typename Message>
    void handle(const node_ref &from, Message &message, time_point now, action_list &out);
    void applyChanges(const overlay_changes &changes, time_point now, action_list &out);
    void announceSelf(action_list &out);
    void updateShutdown(time_point now, action_list &out);
    void handOver(action_list &out, time_point now);
    /// \returns the node that takes over this node's ledger: the first serving node in the local
    /// zone, otherwise in another zone; empty if there is none.
    std::string chooseSuccessor(time_point now) const;

    node_options m_options;
    random_source &m_random;
    node_counters m_counters;
    overlay m_membership;
    router m_routes;
    handle_table m_handles;
    handle_headers m_runHeaders;
    ledger m_ledger;
    config_service m_config;
    quota_service m_quota;
    caller_request_handler m_requestHandler;
    executor m_executor;
    dispatcher m_dispatcher;
    routing_updater m_routingUpdater;
    owner_calls m_ownerCalls;
    backend_announcement m_backend;
    bool m_backendUp = false;
    phase m_phase = phase::running;
    time_point m_shutdownStarted;
    time_point m_nextTick;
    time_point m_nextExpiry;
    bool m_drained = false;
};

} // namespace tamarackridge::internal
