#pragma once

#include "ctl/http_transport.h"
#include "tamarackridge/config"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief What a node answers at `/.tamarackridge/status`, as far as the configuration goes.
struct node_report
{
    std::string url;
    std::string failure; ///< Why there is no answer; empty if there is one.
    std::string zone;
    std::string node;
    std::int64_t version = -1;
    std::optional<std::int64_t> confirmationAgeMs; ///< Absent: never confirmed.
};

/// \brief Whether a node, or all heard nodes of a zone, follow the version in force.
enum class follow_state : std::uint8_t { current, behind, unconfirmed, not_heard };

struct zone_report
{
    std::string zone;
    follow_state state = follow_state::not_heard;
    std::int64_t lowestVersion = -1;
    std::size_t nodesHeard = 0;
};

/// \brief State of the fleet as seen from the nodes that were asked.
struct fleet_report
{
    std::int64_t version = -1; ///< In force.
    std::vector<node_report> nodes;
    std::vector<zone_report> zones; ///< Every configured zone, and zones of further nodes.

    bool allCurrent() const;
};

/// \returns the text of a state, for example `not-heard`.
std::string_view toString(follow_state state);

/// \brief Asks the nodes at \a urls.
std::vector<node_report> askNodes(http_transport &transport, const std::vector<std::string> &urls);

/// \brief Compares the nodes' reports with the version in force.
/// \param version in force by the log, or std::nullopt if the log cannot be read; then the highest
/// version of a node counts.
fleet_report assessFleet(std::vector<node_report> nodes, const config_set &set,
                         std::optional<std::int64_t> version);

/// \returns the state of one node.
follow_state stateOf(const node_report &node, std::int64_t version, duration maxUnconfirmed);

} // namespace tamarackridge
