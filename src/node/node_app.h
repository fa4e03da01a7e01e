#pragma once

#include "node/backend_runner.h"
#include "node/caller_server.h"
#include "node/caller_table.h"
#include "node/line_writer.h"
#include "node/log_workers.h"
#include "node/node_runtime.h"
#include "node/node_settings.h"
#include "node/own_paths.h"
#include "node/peer_link.h"
#include "process/metrics.h"
#include "process/secure_random.h"
#include "process/supervisor.h"

#include <atomic>
#include <optional>

namespace tamarackridge {

/// \brief A running node: the decisions, and the threads and sockets around them.
class node_app final : private action_executor
{
public:
    /// \brief Starts all threads and listens; throws std::runtime_error if that fails.
    explicit node_app(const node_settings &settings);
    node_app(const node_app &) = delete;
    node_app &operator=(const node_app &) = delete;
    ~node_app() override;

    /// \brief Checks the threads; to be called several times a second.
    /// \returns why the process has to exit with a failure, or nothing.
    std::optional<std::string> supervise();
    /// \brief Begins a graceful shutdown.
    void drain();
    /// \returns whether a graceful shutdown was begun and is complete.
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

    void addChildren(bool readsLog);
    own_path_services ownPathServices();
    http_response handleCaller(http_request request, const caller_connection &connection);
    http_response decide(http_request request, const caller_connection &connection);
    void recordRequest(const http_request &request, const http_response &response,
                       time_point start);
    void takeRuns(bool crashed, std::vector<finished_run> runs);
    std::string metricsText();

    secure_random m_random; // Before m_self, which draws its incarnation from it.
    node_ref m_self;
    metrics_registry m_metrics;
    line_writer m_spans;
    line_writer m_requests;
    caller_table m_callers;
    std::atomic<call_id> m_lastCall = 0;
    std::atomic<bool> m_leaving = false;
    peer_link m_peers;
    backend_runner m_backend;
    log_appender m_appender;
    log_readers m_readers;
    node_runtime m_runtime;
    supervisor m_supervisor;
    own_paths m_ownPaths;
    prometheus::Histogram &m_callSeconds;
    std::optional<caller_server> m_server;
};

} // namespace tamarackridge
