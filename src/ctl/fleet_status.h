#pragma once

#include "ctl/http_transport.h"
#include "tamarackridge/config"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief The configuration state that a node reports at `/.tamarackridge/status`.
struct node_report
{
    std::string url;
    std::string failure; ///< Why there is no valid response; empty if there is one.
    std::string zone;
    std::string node;
    std::int64_t version = -1;
    std::optional<std::int64_t> confirmationAgeMs; ///< Absent if never confirmed.
};

/// \brief Whether a node, or every responding node of a zone, has the version in force.
///
/// `unconfirmed` means that the node has not confirmed for too long that its keys are still valid.
enum class sync_state : std::uint8_t { current, behind, unconfirmed, no_response };

/// \brief State of a zone, derived from its responding nodes.
struct zone_report
{
    std::string zone;
    sync_state state = sync_state::no_response;
    std::int64_t minVersion = -1;
    std::size_t respondingNodes = 0;
};

/// \brief State of the fleet according to the queried nodes.
struct fleet_report
{
    std::int64_t version = -1; ///< Version in force.
    std::vector<node_report> nodes;
    /// All configured zones and any other zones that nodes reported.
    std::vector<zone_report> zones;

    bool allCurrent() const;
};

/// \returns the text of a state, for example `not-heard`.
std::string_view toString(sync_state state);

/// \brief Queries the status of the nodes at \a urls.
std::vector<node_report> queryNodes(http_transport &transport,
                                    const std::vector<std::string> &urls);

/// \brief Compares the nodes' reports with the version in force.
/// \param version the version in force according to the log, or std::nullopt if the log cannot be
/// read; then the highest version reported by a node is used.
fleet_report assessFleet(std::vector<node_report> nodes, const config_set &set,
                         std::optional<std::int64_t> version);

/// \returns the state of one node.
sync_state stateOf(const node_report &node, std::int64_t version, duration maxUnconfirmed);

} // namespace tamarackridge
