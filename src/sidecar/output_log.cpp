#include "sidecar/output_log.h"

#include "process/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

// Enough to follow every failure of an ordinary day, and a few percent of a core at most.
constexpr double processLines = 100;
constexpr double failureLines = 60;
constexpr double refusalLines = 30;
constexpr double successLines = 5;
constexpr double burstSeconds = 2;
constexpr std::size_t mostBuffered = std::size_t{256} * 1024;

} // namespace

output_log::output_log()
    : m_budgets{budget{processLines, processLines * burstSeconds},
                budget{failureLines, failureLines * burstSeconds},
                budget{refusalLines, refusalLines * burstSeconds},
                budget{successLines, successLines * burstSeconds}}
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        static_cast<void>(fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
}

bool output_log::take(line_class kind)
{
    budget &item = m_budgets.at(static_cast<std::size_t>(kind));
    if (item.left < 1 || m_buffer.size() > mostBuffered) {
        ++m_dropped;
        return false;
    }
    item.left -= 1;
    return true;
}

void output_log::write(line_class kind, std::string_view event, json_line line)
{
    if (take(kind))
        append(event, std::move(line));
}

void output_log::append(std::string_view event, json_line line)
{
    m_buffer.append(line.add("event", event).add("time", utcNow()).finish()).push_back('\n');
}

void output_log::reportDropped()
{
    if (m_dropped == m_reported)
        return;
    append("lines dropped", json_line().add("count", m_dropped - m_reported));
    m_reported = m_dropped;
}

void output_log::flush(time_point now)
{
    const double passed = std::chrono::duration<double>(now - m_filledAt).count();
    m_filledAt = now;
    for (budget &item : m_budgets)
        item.left = std::min(item.left + passed * item.perSecond, burstSeconds * item.perSecond);
    reportDropped();
    while (!m_buffer.empty()) {
        const ssize_t count = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
        if (count <= 0)
            return; // The reader is behind; the rest waits, up to the bound.
        m_buffer.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace tamarackridge
