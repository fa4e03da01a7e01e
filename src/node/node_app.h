#pragma once

#include "node/backend_runner.h"
#include "node/caller_server.h"
#include "node/caller_table.h"
#include "node/line_writer.h"
#include "node/log_workers.h"
#include "node/management_endpoints.h"
#include "node/node_runtime.h"
#include "node/node_settings.h"
#include "node/peer_link.h"
#include "process/metrics.h"
#include "process/secure_random.h"
#include "process/supervisor.h"

#include <atomic>
#include <optional>

namespace tamarackridge {

/// \brief A running node: node_core, which makes all decisions, with the threads, sockets and files
/// that connect it to callers, peers, the backend server and the platform log.
class node_app final : private action_executor
{
public:
    /// \brief Starts all threads and listens for callers.
    ///
    /// Throws std::runtime_error if that fails, e.g. because the callers' port is in use.
    explicit node_app(const node_settings &settings);
    node_app(const node_app &) = delete;
    node_app &operator=(const node_app &) = delete;
    ~node_app() override;

    /// \brief Checks the threads and restarts failed ones; must be called several times a second.
    /// \returns the reason if a thread failed or stalled too often and the process has to exit;
    /// otherwise nothing.
    std::optional<std::string> supervise();
    /// \brief Begins a graceful shutdown; further calls have no effect.
    void drain();
    /// \returns whether a graceful shutdown was requested and is complete.
    bool drained();
    std::uint16_t callerPort() const { return m_server->port(); }

private:
    void execute(respond_to_caller item) override;
    void execute(run_backend item) override;
    void execute(cancel_run item) override;
    void execute(send_peer item) override;
    void execute(connect_peer item) override;
    void execute(disconnect_peer item) override;
    void execute(append_log item) override;
    void execute(read_log item) override;
    void execute(stop_reading item) override;
    void execute(emit_span item) override;

    void addChildren(bool logConfigured);
    management_services managementServices();
    http_response handleRequest(http_request request, const caller_connection &connection);
    http_response processInCore(http_request request, const caller_connection &connection);
    void recordRequest(const http_request &request, const http_response &response,
                       time_point start);
    void onRunsFinished(bool crashed, std::vector<finished_run> runs);
    std::string metricsText();

    secure_random m_random; // Declared before m_self, whose incarnation is a random number.
    node_ref m_self;
    metrics_registry m_metrics;
    line_writer m_spanWriter;
    line_writer m_requestWriter;
    caller_table m_callers;
    std::atomic<call_id> m_lastCallId = 0;
    std::atomic<bool> m_leaving = false;
    peer_link m_peerLink;
    backend_runner m_backend;
    log_appender m_logAppender;
    log_readers m_logReaders;
    node_runtime m_runtime;
    supervisor m_supervisor;
    management_endpoints m_managementEndpoints;
    prometheus::Histogram &m_callSeconds;
    std::optional<caller_server> m_server;
};

} // namespace tamarackridge
