#include "sidecar/output_log.h"

#include "process/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

// Lines per second of each class: enough to log every failure under normal conditions, at a cost of
// at most a few percent of a core.
constexpr double processLinesPerSecond = 100;
constexpr double failureLinesPerSecond = 60;
constexpr double refusalLinesPerSecond = 30;
constexpr double successLinesPerSecond = 5;
constexpr double burstSeconds = 2;
constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;

} // namespace

output_log::output_log()
    : m_budgets{budget{processLinesPerSecond, processLinesPerSecond * burstSeconds},
                budget{failureLinesPerSecond, failureLinesPerSecond * burstSeconds},
                budget{refusalLinesPerSecond, refusalLinesPerSecond * burstSeconds},
                budget{successLinesPerSecond, successLinesPerSecond * burstSeconds}}
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        static_cast<void>(fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
}

bool output_log::consumeBudget(line_class kind)
{
    budget &item = m_budgets.at(static_cast<std::size_t>(kind));
    if (item.available < 1 || m_buffer.size() > maxBufferedBytes) {
        ++m_dropped;
        return false;
    }
    item.available -= 1;
    return true;
}

void output_log::write(line_class kind, std::string_view event, json_line line)
{
    if (consumeBudget(kind))
        append(event, std::move(line));
}

void output_log::append(std::string_view event, json_line line)
{
    m_buffer.append(line.add("event", event).add("time", utcNow()).finish()).push_back('\n');
}

void output_log::reportDropped()
{
    if (m_dropped == m_reportedDropped)
        return;
    append("lines dropped", json_line().add("count", m_dropped - m_reportedDropped));
    m_reportedDropped = m_dropped;
}

void output_log::flush(time_point now)
{
    const double passed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    for (budget &item : m_budgets)
        item.available =
                std::min(item.available + passed * item.perSecond, burstSeconds * item.perSecond);
    reportDropped();
    while (!m_buffer.empty()) {
        const ssize_t count = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
        if (count <= 0)
            return; // The reader is behind: the rest stays in the buffer, which is bounded.
        m_buffer.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace tamarackridge
