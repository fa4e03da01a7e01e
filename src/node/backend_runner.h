#pragma once

#include "process/http_client.h"

#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace tamarackridge {

class child_context;

/// \brief Result of one run on the backend server.
struct finished_run
{
    run_id run = 0;
    backend_result result;
};

/// \brief Runs requests on this node's backend server and detects crashes of that server.
///
/// When a connection breaks, the result of its run is reported only after a new connection has been
/// tried. If the new connection is refused, the crash is reported before the results, while
/// node_core still counts their requests as running on the server.
class backend_runner
{
public:
    /// Receives the results of runs.
    /// \param crashed whether the server refuses new connections; to be handled before \a runs.
    using completion = std::function<void(bool crashed, std::vector<finished_run> runs)>;

    backend_runner(http_client_options options, completion done);

    /// \brief Sets the address that the backend server announced.
    void setTarget(http_target target);
    void run(run_backend item);
    void cancel(cancel_run item) { m_client.cancel(item.run); }

    /// \brief Exchanges requests and responses until \a context requests a stop.
    void runClient(child_context &context);
    void wakeClient() const { m_client.wake(); }
    /// \brief Tries a new connection whenever connections have broken, and reports the interrupted
    /// runs, until \a context requests a stop.
    void runProber(child_context &context);
    void wakeProber() { m_connectionBroken.notify_one(); }

private:
    // A run whose connection broke and whose result has not been reported yet.
    struct interrupted_run
    {
        http_target target;
        finished_run finished;
    };

    void onRunEnded(run_id run, http_outcome outcome);
    std::vector<interrupted_run> takeInterruptedRuns(child_context &context);

    completion m_done;
    std::mutex m_mutex;
    http_target m_target;
    std::condition_variable m_connectionBroken;
    std::vector<interrupted_run> m_interruptedRuns;
    http_client m_client;
};

/// \returns whether a connection to \a target is refused; false also if it is neither refused nor
/// established within \a timeout.
bool isConnectRefused(const http_target &target, std::chrono::milliseconds timeout);

} // namespace tamarackridge
