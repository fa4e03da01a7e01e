#pragma once

#include "process/secure_random.h"
#include "sidecar/crash_log.h"
#include "sidecar/departure_log.h"
#include "sidecar/http_listener.h"
#include "sidecar/latency_buckets.h"
#include "sidecar/output_log.h"
#include "sidecar/peer_network.h"
#include "sidecar/platform_gateway.h"
#include "sidecar/server_runner.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/store_watch.h"
#include "tamarackridge/src/sidecar/sidecar_core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <string>

namespace tamarackridge {

/// \brief The sidecar process of a backend server: connects a sidecar_core to sockets and timers.
class sidecar_app final : public decision_observer
{
public:
    sidecar_app(boost::asio::io_context &loop, const sidecar_settings &settings,
                platform_gateway &platform);

    /// \brief Runs until the shutdown is complete.
    void run();
    /// \brief Starts the node without running the event loop, which may be shared.
    void start();
    /// \brief Begins a graceful shutdown, which ends the event loop when it is complete.
    void stop(std::string_view cause);

    void requestEnded(const ended_request &request) override;
    void knownStateChanged(std::string_view subject, std::string_view knownState,
                           std::string_view source) override;
    void runInterrupted(run_id run, const request_identity &identity,
                        std::string_view path) override;
    void runRefused(std::string_view requestId, error_kind reason,
                    std::string_view identity) override;

private:
    sidecar_options coreOptions() const;
    listener_callbacks callerCallbacks();
    /// \brief Callbacks for the health, control and metrics endpoints.
    listener_callbacks endpointCallbacks(void (sidecar_app::*handle)(call_id,
                                                                     const http_request &));
    peer_callbacks linkCallbacks();
    store_callbacks storeCallbacks();
    departure_callbacks departureCallbacks();

    /// \brief Passes an event to the core and performs the actions that it returns.
    template <typename Event>
    void post(Event event);
    void perform(const action &item);

    /// \brief Logs a request that ended on this node's backend server.
    void runEnded(const ended_run &run, const backend_result &result);
    void recordCrash(const record_crash &crash);
    void checkServer(const check_server &check);
    void serveHealth(call_id call, const http_request &request);
    void serveNotice(call_id call, const http_request &request);
    /// \brief Responds to the notice that a server leaves when it is recorded: the acknowledgement
    /// must hold for later processes of this node.
    void acknowledgeDeparture(call_id call, const std::string &instance);
    void serveMetrics(call_id call, const http_request &request);
    std::string metricsText();
    /// \brief Passes a heartbeat or leave notice to the core.
    /// \returns false when the core rejects the heartbeat.
    bool forwardNotice(const server_notice &notice);

    void tick();
    void sweep();
    void awaitSignal();
    /// \brief Ends the event loop if the shutdown is complete. At its time limit, responds to the
    /// callers whose requests are in progress, and ends the loop when they have the responses.
    void endIfStopped(time_point now);
    /// \param atEnd state in which the shutdown was complete or reached its time limit.
    void end(std::string_view cause, const node_status &atEnd);

    boost::asio::io_context &m_loop;
    sidecar_settings m_settings;
    platform_gateway &m_platform;
    output_log m_log;
    secure_random m_random;
    node_ref m_self;
    sidecar_core m_core;
    action_list m_actions;
    bool m_performing = false;
    call_id m_lastCall = 0;
    http_listener m_callers;
    http_listener m_health;
    http_listener m_control;
    http_listener m_metrics;
    server_runner m_server;
    peer_network m_peers;
    store_watch m_store;
    departure_log m_departures;
    crash_log m_crashes;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::signal_set m_signals;
    std::map<int, std::uint64_t> m_responsesByStatus;
    latency_buckets m_latency;
    time_point m_stopDeadline = time_point::max(); ///< The process stops then even if not drained.
    std::optional<node_status> m_unfinished; ///< Set when the time limit of the stop is reached.
};

} // namespace tamarackridge
