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

/// \brief How a run on the backend server ended.
struct finished_run
{
    run_id run = 0;
    backend_result result;
};

/// \brief Runs requests on the own backend server and finds out when it has crashed.
///
/// When a connection breaks, the answer is held back until a new connection was tried. If that is
/// refused, the crash is reported before the answers, while node_core still counts their requests
/// as running there.
class backend_runner
{
public:
    /// \param crashed whether new connections are refused; reported before the runs.
    using completion = std::function<void(bool crashed, std::vector<finished_run> runs)>;

    backend_runner(http_client_options options, completion done);

    /// \brief Sets the backend server's address, as announced.
    void setTarget(http_target target);
    void run(run_backend item);
    void cancel(cancel_run item) { m_client.cancel(item.run); }

    /// \brief Exchanges requests and answers until a stop is requested.
    void runClient(child_context &context);
    void wakeClient() const { m_client.wake(); }
    /// \brief Tries new connections after broken ones, until a stop is requested.
    void runProber(child_context &context);
    void wakeProber() { m_broken.notify_one(); }

private:
    struct suspect_run
    {
        http_target target;
        finished_run finished;
    };

    void finish(run_id run, http_outcome outcome);
    std::vector<suspect_run> takeSuspects(child_context &context);

    completion m_done;
    std::mutex m_mutex;
    http_target m_target;
    std::condition_variable m_broken;
    std::vector<suspect_run> m_suspects;
    http_client m_client;
};

/// \returns whether a connection to \a target is refused; false also when there is no answer.
bool isConnectRefused(const http_target &target, std::chrono::milliseconds timeout);

} // namespace tamarackridge
