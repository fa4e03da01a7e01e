#pragma once

#include "scenario/event_queue.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tamarackridge::scenario {

/// \brief One execution of a request, as the backend server sees it.
struct execution_record
{
    std::string marker; ///< Value of the `X-Request-Marker` header.
    std::string node;
    std::string customer;
    time_point began;
    bool finished = false;
    bool receivedApiKey = false; ///< Whether the request carried the customer's key; it must not.
};

/// \brief Settings of a fake backend server.
struct backend_model
{
    std::string service;
    std::uint32_t slots = 100; ///< Requests executed at the same time.
    duration serviceTime = std::chrono::milliseconds(10); ///< Mean.
    std::vector<std::string> onwardTargets; ///< Called through the server's own node, in turn.
};

/// \brief Fake backend server with a fixed number of slots, a first-in, first-out queue and
/// exponentially distributed service times. It can freeze and crash.
class virtual_backend
{
public:
    using result_sink = std::function<void(run_id run, backend_result result)>;
    using onward_call = std::function<void(const http_request &request,
                                           std::function<void(const http_response &)> done)>;
    using crash_sink = std::function<void()>;

    virtual_backend(backend_model model, std::string node, event_queue &events,
                    random_source &random, std::vector<execution_record> &executions);

    /// \brief Sets the functions that report to the server's node. Must be called before \ref run.
    void connect(result_sink results, onward_call onward, crash_sink crashed);
    void run(const run_backend &request);
    void cancel(run_id run);
    /// \brief Ends the process; the connections of all running and queued requests break.
    void crash();
    /// \brief Starts the process again as a new instance.
    void restart();
    /// \brief While frozen, requests are accepted but not completed.
    void setFrozen(bool frozen) { m_frozen = frozen; }
    void setServiceTime(duration time) { m_model.serviceTime = time; }
    const backend_model &model() const { return m_model; }
    const std::string &instance() const { return m_instance; }
    bool up() const { return m_up; }

private:
    struct running_request
    {
        std::size_t executionIndex = 0; ///< Of its entry in m_executions, once started.
        http_request request;
        std::size_t nextOnwardTarget = 0;
        bool started = false;
    };

    void startQueued();
    /// \brief Records the execution and schedules the end of its service time.
    void startExecution(run_id run);
    /// \brief Calls the next onward target, or completes the request after the last one.
    void callNextTarget(run_id run);
    void complete(run_id run, int status);

    backend_model m_model;
    std::string m_node;
    event_queue &m_events;
    random_source &m_random;
    std::vector<execution_record> &m_executions;
    result_sink m_onResult;
    onward_call m_onwardCall;
    crash_sink m_onCrash;
    std::map<run_id, running_request> m_running;
    std::vector<run_id> m_queue;
    std::uint32_t m_busySlots = 0;
    std::uint64_t m_generation = 1; ///< Invalidates events scheduled before a crash or restart.
    std::string m_instance = "1";
    bool m_frozen = false;
    bool m_up = true;
};

} // namespace tamarackridge::scenario
