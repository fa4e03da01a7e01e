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
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::internal {

/// \brief Owns the components of a sidecar_core and passes events and messages between them.
class sidecar_state : private quarantine_observer
{
public:
    sidecar_state(sidecar_options options, set_decoder decoder, decision_observer &observer,
                  random_source &random);
    sidecar_state(const sidecar_state &) = delete;
    sidecar_state &operator=(const sidecar_state &) = delete;
    ~sidecar_state() override = default;

    sidecar_request_handler &requestHandler() { return m_requestHandler; }

    void configurationRead(std::string_view text, std::string_view source, time_point now);
    void membersListed(const std::vector<seed_peer> &members, time_point now);
    void peerMessage(const node_ref &from, peer_message message, time_point now, action_list &out);
    void peerRestarted(std::string_view node, incarnation_id incarnation, time_point now,
                       action_list &out);
    void peerUnresponsive(std::string_view node, time_point now, action_list &out);
    dispatcher &dispatches() { return m_dispatcher; }
    void departuresRead(const recorded_departures &records, time_point now, action_list &out);
    void crashRecordsRead(std::span<const crash_record> records, time_point now, action_list &out);
    void serverChecked(std::string_view instance, bool passed, time_point now, action_list &out);
    bool serverReported(const server_report &report, time_point now, action_list &out);
    void serverLeaving(std::string_view instance, std::optional<std::int64_t> startedAt,
                       time_point now, action_list &out);
    void backendResponse(run_id run, backend_result result, time_point now, action_list &out);
    void backendCrashed(time_point now, action_list &out);

    void tick(time_point now, action_list &out);
    time_point nextTick() const { return m_nextTick; }
    void beginShutdown(time_point now, time_point exitAt, action_list &out);
    bool drained(time_point now) const;
    bool ready() const { return m_requestHandler.table() != nullptr && !m_leaving; }
    bool leaving() const { return m_leaving; }
    const caller_limits &limits() const;
    node_status status(time_point now);

private:
    void crashAttributed(std::span<const overlay_entry> entries) override;
    void runInterrupted(run_id run, const request_identity &identity,
                        std::string_view target) override;
    void quarantinedRefused(const http_request &request, const fingerprint &quarantined) override;
    /// \brief Logs what the server of \a run says about itself, if that has changed.
    void logCondition(run_id run, const server_condition &condition);
    /// \brief Sends no further requests to a server whose response says that it leaves. The node
    /// beside it does the same, but forgets it if it is restarted while it reaches no peer.
    void noteLeavingServer(std::string_view node, const dispatch_response &response,
                           time_point now);
    void reportQuarantined(const overlay_entry &entry, std::string_view source);
    /// \brief Takes an entry of another node about a request that crashes backend servers.
    void applyQuarantineEntry(const overlay_entry &entry, time_point now, action_list &out);
    template <typename Message>
    void handle(const node_ref &from, Message &message, time_point now, action_list &out);
    void applyChanges(const overlay_changes &changes, time_point now, action_list &out);
    /// A start of a backend server that has announced that it is leaving.
    struct departure
    {
        std::optional<std::int64_t> startedAt; ///< Absent until a report states it.
        time_point until; ///< When the entry expires.
    };

    /// \brief Records that a start of \a instance is leaving, even if no report of it was received.
    void recordDeparture(std::string_view instance, std::optional<std::int64_t> startedAt,
                         time_point now, action_list &out);
    /// \brief Stops using the backend server if \a departure is about it.
    /// \param source where this process learned of the departure, for the log.
    void applyDeparture(const server_departure &departure, std::string_view source, time_point now,
                        action_list &out);
    bool hasDeparted(const server_report &report, time_point now, action_list &out);
    /// \brief Lets reports that the backend server is ready take effect if what earlier processes
    /// recorded is known: the departures of this node's servers, and the crashes.
    void acceptReadyReports(time_point now, action_list &out);
    bool isRecordMissing() const { return !m_departuresKnown || !m_crashesKnown; }
    /// \brief Requests a health check for the report that waits, where departures may be missing.
    void checkWaitingServer(time_point now, action_list &out);
    bool isCurrent(const server_report &report) const;
    void announceSelf(time_point now, action_list &out);
    std::int64_t version() const;

    sidecar_options m_options;
    set_decoder m_decoder;
    decision_observer &m_observer;
    node_counters m_counters;
    overlay m_membership;
    router m_router;
    instance_headers m_runHeaders;
    executor m_executor;
    dispatcher m_dispatcher;
    routing_updater m_routingUpdater;
    sidecar_quota m_quota;
    sidecar_request_handler m_requestHandler;
    server_report m_serverReport; ///< The last report that took effect.
    std::map<std::string, departure, std::less<>> m_departures; ///< By instance.
    bool m_departuresKnown = false;
    bool m_crashesKnown = false;
    /// Newest report that waits for the records of earlier processes.
    std::optional<server_report> m_waitingReport;
    bool m_departuresMayBeMissing = false;
    bool m_checkPending = false;
    server_condition m_condition; ///< From the last response of the current start of the server.
    bool m_serverUp = false;
    bool m_leaving = false;
    time_point m_admissionEnd; ///< While leaving: callers' requests are admitted until then.
    time_point m_nextTick;
    time_point m_nextFetch;
};

} // namespace tamarackridge::internal
