#pragma once

#include "sidecar/connection_pool.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackridge {

/// \brief Header names in the answers of backend servers.
struct server_response_names
{
    std::string requestId; ///< Repeats the id of the request.
    std::string notRun; ///< Present when the request was rejected and has not run.
    std::string seal; ///< Present in every whole answer of success.
};

/// \brief Runs requests on the backend server of this VM, each at most once.
class server_runner
{
public:
    using ended_handler = std::function<void(std::string_view requestId,
                                             const backend_result &result, duration elapsed)>;
    /// \param refused is set when no connection could be opened.
    using done_handler = std::function<void(run_id run, backend_result result, bool refused)>;

    server_runner(boost::asio::io_context &loop, const socket_address &server,
                  server_response_names names, done_handler done)
        : m_pool(loop, server)
        , m_names(std::move(names))
        , m_done(std::move(done))
    { }

    /// \brief Calls \a handler with each run's request id, outcome and time, for the log.
    void onEnded(ended_handler handler) { m_ended = std::move(handler); }

    void run(const run_backend &item);
    void cancel(run_id run);
    void sweep(time_point now) { m_pool.sweep(now); }
    const connection_pool &pool() const { return m_pool; }

private:
    struct running
    {
        connection_pool::exchange_id exchange = 0;
        std::string requestId;
        time_point began;
    };

    void finished(run_id run, exchange_result result);

    connection_pool m_pool;
    server_response_names m_names;
    done_handler m_done;
    ended_handler m_ended = [](std::string_view, const backend_result &, duration) {};
    std::unordered_map<run_id, running> m_running;
};

} // namespace tamarackridge
