#pragma once

#include "process/monotonic_time.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"

#include <condition_variable>
#include <mutex>
#include <utility>

namespace tamarackridge {

class child_context;

/// \brief Executes the actions that node_core emits, with one overload for each kind of action.
///
/// node_runtime calls these functions while it holds its mutex, so an implementation must only
/// queue work and never block.
class action_executor
{
public:
    action_executor() = default;
    action_executor(const action_executor &) = delete;
    action_executor &operator=(const action_executor &) = delete;
    virtual ~action_executor() = default;

    virtual void execute(respond_to_caller item) = 0;
    virtual void execute(run_backend item) = 0;
    virtual void execute(cancel_run item) = 0;
    virtual void execute(send_peer item) = 0;
    virtual void execute(connect_peer item) = 0;
    virtual void execute(disconnect_peer item) = 0;
    virtual void execute(append_log item) = 0;
    virtual void execute(read_log item) = 0;
    virtual void execute(stop_reading item) = 0;
    virtual void execute(emit_span item) = 0;
    void execute(const record_departure &) { } ///< Returned by sidecar_core only.
    void execute(const record_crash &) { } ///< Returned by sidecar_core only.
    void execute(const check_server &) { } ///< Returned by sidecar_core only.
};

/// \brief Passes events to node_core one at a time and executes the resulting actions in order.
class node_runtime
{
public:
    /// \param random used only by node_core, while the mutex is held.
    node_runtime(node_options options, random_source &random, action_executor &executor);

    /// \brief Passes one event to node_core and executes the actions that result from it.
    /// \param event called as `event(core, now, out)`; appends its actions to `out`.
    template <class Event>
    void post(Event &&event)
    {
        const std::lock_guard lock(m_mutex);
        const time_point now = monotonicNow();
        event(m_core, now, m_actions);
        executePendingActions();
    }

    /// \brief Reads from node_core without changing it.
    /// \returns the result of `function(core, now)`.
    template <class Query>
    auto query(Query &&function)
    {
        const std::lock_guard lock(m_mutex);
        return function(std::as_const(m_core), monotonicNow());
    }

    /// \brief Runs node_core's timers until \a context requests a stop.
    void runTimers(child_context &context);
    /// \brief Wakes runTimers(), so that it checks for a stop request.
    void wakeTimers();

private:
    void executePendingActions();

    std::mutex m_mutex;
    std::condition_variable m_timerChanged;
    time_point m_timerDue = time_point::max(); // When runTimers() wakes next.
    bool m_timerWakeRequested = false;
    action_executor &m_executor;
    node_core m_core;
    action_list m_actions; // Both lists are members to reuse their storage.
    action_list m_executing;
};

} // namespace tamarackridge
