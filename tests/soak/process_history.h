#pragma once

#include "process/monotonic_time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::soak {

/// \brief What happened to the sidecar process of a VM.
enum class process_event : std::uint8_t { started, terminated, killed, paused, resumed, exited };

/// \brief Formats the time since \a start and a text as one line of a history.
inline std::string historyLine(time_point start, time_point at, std::string_view text)
{
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%8.3f s ",
                  std::chrono::duration<double>(at - start).count());
    return std::string(seconds.data()).append(text);
}

/// \brief What happened to the sidecar processes of all VMs.
class process_history
{
public:
    explicit process_history(std::size_t vms)
        : m_changes(vms)
    { }

    void add(std::size_t vm, process_event event)
    {
        m_changes.at(vm).push_back({monotonicNow(), event});
    }

    /// \returns whether the process was killed, paused or resumed in the interval.
    bool disturbed(std::size_t vm, time_point from, time_point to) const
    {
        const std::vector<change> &changes = m_changes.at(vm);
        return std::any_of(changes.begin(), changes.end(), [from, to](const change &item) {
            const bool unplanned = item.event == process_event::killed
                                   || item.event == process_event::paused
                                   || item.event == process_event::resumed;
            return unplanned && item.at > from && item.at <= to;
        });
    }

    /// \returns whether anything happened to the process in the interval.
    bool changed(std::size_t vm, time_point from, time_point to) const
    {
        return std::ranges::any_of(m_changes.at(vm), [from, to](const change &item) {
            return item.at > from && item.at <= to;
        });
    }

    /// \returns when the process that runs at \a to received SIGTERM, if it did.
    std::optional<time_point> termination(std::size_t vm, time_point to) const
    {
        std::optional<time_point> last;
        for (const change &item : m_changes.at(vm)) {
            if (item.at > to)
                break;
            if (item.event == process_event::started)
                last.reset();
            else if (item.event == process_event::terminated)
                last = item.at;
        }
        return last;
    }

    /// \brief Appends a line for each change of a VM's process.
    void describe(std::size_t vm, time_point start, std::vector<std::string> &lines) const
    {
        constexpr std::array<std::string_view, 6> names{"started", "SIGTERM", "SIGKILL",
                                                        "SIGSTOP", "SIGCONT", "exited"};
        for (const change &item : m_changes.at(vm))
            lines.push_back(historyLine(
                    start, item.at,
                    "process of VM " + std::to_string(vm) + ": "
                            + std::string(names.at(static_cast<std::size_t>(item.event)))));
    }

private:
    struct change
    {
        time_point at;
        process_event event;
    };

    std::vector<std::vector<change>> m_changes;
};

} // namespace tamarackridge::soak
