#pragma once

#include "core/node/dispatcher.h"
#include "core/node/executor.h"
#include "core/node/node_counters.h"
#include "core/node/routing_updater.h"
#include "core/sidecar/instance_headers.h"
#include "core/sidecar/sidecar_quota.h"
#include "core/sidecar/sidecar_request_handler.h"
#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/routing/router.h"
#include "tamarackridge/src/sidecar/sidecar_core.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge::internal {

/// \brief The parts of a sidecar and the connections between them.
class sidecar_state
{
public:
    sidecar_state(sidecar_options options, set_decoder decoder, decision_observer &observer,
                  random_source &random);
    sidecar_state(const sidecar_state &) = delete;
    sidecar_state &operator=(const sidecar_state &) = delete;
    ~sidecar_state() = default;

    sidecar_request_handler &calls() { return m_entry; }
    executor &runs() { return m_executor; }

    void configurationRead(std::string_view text, std::string_view source, time_point now);
    void membersListed(const std::vector<seed_peer> &members, time_point now);
    void peerMessage(const node_ref &from, peer_message message, time_point now, action_list &out);
    void peerRestarted(std::string_view node, time_point now, action_list &out);
    void peerUnresponsive(std::string_view node, time_point now, action_list &out);
    dispatcher &dispatches() { return m_dispatcher; }
    bool serverReported(const server_report &report, time_point now, action_list &out);
    void serverLeaving(std::string_view instance, std::optional<std::int64_t> startedAt,
                       time_point now, action_list &out);
    void backendCrashed(time_point now, action_list &out);

    void tick(time_point now, action_list &out);
    time_point nextTick() const { return m_nextTick; }
    void beginShutdown(time_point now, action_list &out);
    bool drained(time_point now) const;
    bool ready() const { return m_entry.table() != nullptr && !m_leaving; }
    bool leaving() const { return m_leaving; }
    const caller_limits &limits() const;
    node_status status(time_point now);

private:
    template <typename Message>
    void handle(const node_ref &from, Message &message, time_point now, action_list &out);
    void applyChanges(const overlay_changes &changes, time_point now, action_list &out);
    /// A start of a server that has said that it leaves.
    struct departure
    {
        std::optional<std::int64_t> startedAt; ///< Absent until a report names it.
        time_point until; ///< When it is forgotten.
    };

    /// \brief Notes that a start of \a instance leaves, also if nothing was known of it.
    void noteDeparture(std::string_view instance, std::optional<std::int64_t> startedAt,
                       time_point now);
    bool hasDeparted(const server_report &report, time_point now);
    bool isCurrent(const server_report &report) const;
    void announceSelf(time_point now, action_list &out);
    std::int64_t version() const;

    sidecar_options m_options;
    set_decoder m_decoder;
    decision_observer &m_observer;
    node_counters m_counters;
    overlay m_membership;
    router m_routes;
    instance_headers m_runHeaders;
    executor m_executor;
    dispatcher m_dispatcher;
    routing_updater m_fleet;
    sidecar_quota m_allowance;
    sidecar_request_handler m_entry;
    server_report m_server; ///< The last report that was acted upon.
    std::map<std::string, departure, std::less<>> m_departures; ///< By instance.
    bool m_serverUp = false;
    bool m_leaving = false;
    time_point m_shutdownBegan;
    time_point m_nextTick;
    time_point m_nextFetch;
};

} // namespace tamarackridge::internal
