#include "node/node_runtime.h"

#include "process/supervisor.h"

#include <algorithm>

namespace tamarackridge {
namespace {

// The timer thread wakes at least this often to report progress; otherwise the supervisor would
// consider it stalled.
constexpr duration maxTimerSleep = std::chrono::milliseconds(500);

} // namespace

node_runtime::node_runtime(node_options options, random_source &random, action_executor &executor)
    : m_executor(executor)
    , m_core(std::move(options), random)
{ }

void node_runtime::executePendingActions()
{
    // The lists are swapped before execution, so that the next event does not repeat any action if
    // an exception is thrown here.
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
        context.reportProgress();
        const time_point now = monotonicNow();
        if (m_core.nextTick() <= now) {
            m_core.tick(now, m_actions);
            m_timerDue = now; // Avoids that this thread notifies itself.
            executePendingActions();
            continue;
        }
        const time_point due = m_core.nextTick();
        m_timerDue = due;
        m_timerChanged.wait_for(lock, std::min(due - now, maxTimerSleep),
                                [&] { return m_timerWakeRequested || m_core.nextTick() < due; });
        m_timerWakeRequested = false;
    }
}

void node_runtime::wakeTimers()
{
    {
        const std::lock_guard lock(m_mutex);
        m_timerWakeRequested = true;
    }
    m_timerChanged.notify_one();
}

} // namespace tamarackridge
