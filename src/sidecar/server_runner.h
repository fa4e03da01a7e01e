#pragma once

#include "sidecar/connection_pool.h"
#include "sidecar/connection_probe.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackridge {

/// \brief Names of header fields in responses of backend servers.
struct response_header_names
{
    std::string requestId; ///< Echoes the request's id.
    std::string notRun; ///< Present when the server rejected the request without running it.
    std::string seal; ///< Present in every complete response with a 2xx status.
    std::string maxRate; ///< Requests per second that the server takes from all nodes together.
    std::string leaving; ///< Present when the server is going to exit.
    std::string instance; ///< Instance that responds to a health check.
};

/// \brief A run that has ended, for the log.
struct ended_run
{
    run_id run = 0;
    std::string_view requestId;
    duration elapsed{};
    std::string_view brokenBy; ///< Why the exchange with the server broke, if it did.
};

/// \brief Sends requests to the backend server of this VM, each at most once.
class server_runner
{
public:
    using run_ended_handler =
            std::function<void(const ended_run &run, const backend_result &result)>;
    /// \param connectionRefused is set when no connection could be opened.
    using done_handler =
            std::function<void(run_id run, backend_result result, bool connectionRefused)>;

    server_runner(boost::asio::io_context &loop, const socket_address &server,
                  response_header_names names, done_handler done)
        : m_pool(loop, server)
        , m_probe(loop, server)
        , m_host(server.text())
        , m_names(std::move(names))
        , m_done(std::move(done))
    { }

    /// \brief Calls \a handler with the outcome of each run.
    void onRunEnded(run_ended_handler handler) { m_runEnded = std::move(handler); }

    /// \brief Calls \a handler when the server refuses a connection after one to it has broken.
    /// This tells of a crash at once; the next run could come much later.
    void onServerDown(std::function<void()> handler) { m_probe.onRefused(std::move(handler)); }

    void run(const run_backend &item);
    void cancel(run_id run);
    /// \brief Sends a health check.
    /// \param done is called with whether the instance has responded that it is healthy and not
    /// leaving.
    void check(const check_server &item, std::function<void(bool passed)> done);
    void sweep(time_point now)
    {
        m_pool.sweep(now);
        m_probe.sweep(now);
    }
    const connection_pool &pool() const { return m_pool; }

private:
    struct running_request
    {
        connection_pool::exchange_id exchange = 0;
        std::string requestId;
        time_point startedAt;
    };

    void exchangeEnded(run_id run, exchange_result result);
    server_condition conditionOf(const http_response &response) const;

    connection_pool m_pool;
    connection_probe m_probe;
    std::string m_host;
    response_header_names m_names;
    done_handler m_done;
    run_ended_handler m_runEnded = [](const ended_run &, const backend_result &) {};
    std::unordered_map<run_id, running_request> m_running;
};

} // namespace tamarackridge
