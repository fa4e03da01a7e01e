#include "node/node_runtime.h"

#include "process/supervisor.h"

#include <algorithm>

namespace tamarackridge {
namespace {

// Upper bound of a timer's sleep; it keeps the supervisor from taking the thread for stalled.
constexpr duration longestSleep = std::chrono::milliseconds(500);

} // namespace

time_point monotonicNow()
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

node_runtime::node_runtime(node_options options, random_source &random, action_executor &executor)
    : m_executor(executor)
    , m_core(std::move(options), random)
{ }

void node_runtime::finishEvent()
{
    // Swapped first, so that an exception in here can't make the next event repeat an action.
    m_executing.clear();
    m_executing.swap(m_actions);
    for (action &item : m_executing)
        std::visit([this](auto &kind) { m_executor.execute(std::move(kind)); }, item);
    m_executing.clear();
    if (m_core.nextTick() < m_timerDue) {
        m_timerDue = m_core.nextTick();
        m_timerChanged.notify_one();
    }
}

void node_runtime::runTimers(child_context &context)
{
    std::unique_lock lock(m_mutex);
    while (!context.stopRequested()) {
        context.progress();
        const time_point now = monotonicNow();
        if (m_core.nextTick() <= now) {
            m_core.tick(now, m_actions);
            m_timerDue = now; // The tick itself needs no notification of this thread.
            finishEvent();
            continue;
        }
        const time_point due = m_core.nextTick();
        m_timerDue = due;
        m_timerChanged.wait_for(lock, std::min(due - now, longestSleep),
                                [&] { return m_timerWoken || m_core.nextTick() < due; });
        m_timerWoken = false;
    }
}

void node_runtime::wakeTimers()
{
    {
        const std::lock_guard lock(m_mutex);
        m_timerWoken = true;
    }
    m_timerChanged.notify_one();
}

} // namespace tamarackridge
