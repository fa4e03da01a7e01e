#pragma once

#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"

#include <condition_variable>
#include <mutex>
#include <utility>

namespace tamarackridge {

class child_context;

/// \returns the present time of the node's monotonic clock.
time_point monotonicNow();

/// \brief Carries out the actions of node_core; one member function for each kind.
///
/// The functions run under the runtime's mutex, so they only queue work and never block.
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
};

/// \brief Serialises the events of node_core and carries out their actions in order.
class node_runtime
{
public:
    /// \param random is used by node_core only, under the mutex.
    node_runtime(node_options options, random_source &random, action_executor &executor);

    /// \brief Passes one event to node_core.
    /// \param event called as `event(core, now, out)`.
    template <class Event>
    void post(Event &&event)
    {
        const std::lock_guard lock(m_mutex);
        const time_point now = monotonicNow();
        event(m_core, now, m_actions);
        finishEvent();
    }

    /// \returns what \a query returns for node_core at the present time.
    template <class Query>
    auto ask(Query &&query)
    {
        const std::lock_guard lock(m_mutex);
        return query(std::as_const(m_core), monotonicNow());
    }

    /// \brief Runs node_core's timers until a stop is requested.
    void runTimers(child_context &context);
    /// \brief Wakes runTimers().
    void wakeTimers();

private:
    void finishEvent();

    std::mutex m_mutex;
    std::condition_variable m_timerChanged;
    time_point m_timerDue = time_point::max(); // What runTimers() waits for.
    bool m_timerWoken = false;
    action_executor &m_executor;
    node_core m_core;
    action_list m_actions; // Both lists are kept for their storage.
    action_list m_executing;
};

} // namespace tamarackridge
