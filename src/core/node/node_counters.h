#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarackridge::internal {

/// \brief Events that a node counts.
enum class node_counter : std::uint8_t {
    calls,
    calls_answered,
    calls_refused,
    dispatches,
    retries,
    unmatched_answers,
    runs,
    runs_refused,
    runs_unknown,
    onward_calls,
    owner_calls,
    log_records_refused,
    handovers_sent,
    handovers_received,
    crashes,
    suspects_recorded,
    requests_quarantined,
    runs_refused_quarantined,
};

/// \brief Counters of one node, exported on the status page and in the metrics.
class node_counters
{
public:
    void add(node_counter counter, std::uint64_t count = 1)
    {
        m_values[static_cast<std::size_t>(counter)] += count;
    }
    std::uint64_t value(node_counter counter) const
    {
        return m_values[static_cast<std::size_t>(counter)];
    }
    std::vector<std::pair<std::string, std::uint64_t>> list() const
    {
        std::vector<std::pair<std::string, std::uint64_t>> result;
        for (std::size_t index = 0; index < names.size(); ++index)
            result.emplace_back(std::string(names[index]), m_values[index]);
        return result;
    }

private:
    static constexpr std::array<std::string_view, 18> names{"calls",
                                                            "calls_answered",
                                                            "calls_refused",
                                                            "dispatches",
                                                            "retries",
                                                            "unmatched_answers",
                                                            "runs",
                                                            "runs_refused",
                                                            "runs_unknown",
                                                            "onward_calls",
                                                            "owner_calls",
                                                            "log_records_refused",
                                                            "handovers_sent",
                                                            "handovers_received",
                                                            "crashes",
                                                            "suspects_recorded",
                                                            "requests_quarantined",
                                                            "runs_refused_quarantined"};
    std::array<std::uint64_t, names.size()> m_values{};
};

} // namespace tamarackridge::internal
