#include "ctl/fleet_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace tamarackridge {
namespace {

using json = nlohmann::json;

node_report queryNode(http_transport &transport, const std::string &url)
{
    node_report report;
    report.url = url;
    const tl::expected<http_response, std::string> response =
            transport.send("GET", url + "/.tamarackridge/status", "");
    if (!response) {
        report.failure = response.error();
        return report;
    }
    const json value = json::parse(bodyView(response->body), nullptr, false);
    try {
        value.at("zone").get_to(report.zone);
        value.at("node").get_to(report.node);
        value.at("config_version").get_to(report.version);
        const json &age = value.at("confirmation_age_ms");
        if (!age.is_null())
            report.confirmationAgeMs = age.get<std::int64_t>();
    } catch (const json::exception &error) {
        report.failure = "status " + std::to_string(response->status) + ": " + error.what();
    }
    return report;
}

void addTo(zone_report &zone, const node_report &node, sync_state state)
{
    zone.minVersion =
            zone.respondingNodes == 0 ? node.version : std::min(zone.minVersion, node.version);
    // The enumerators are ordered by severity; the state of a zone is that of its worst node.
    zone.state = zone.respondingNodes == 0 ? state : std::max(zone.state, state);
    ++zone.respondingNodes;
}

} // namespace

std::string_view toString(sync_state state)
{
    constexpr std::array<std::string_view, 4> names = {"current", "behind", "unconfirmed",
                                                       "not-heard"};
    return names[static_cast<std::size_t>(state)];
}

bool fleet_report::allCurrent() const
{
    const auto zoneIsCurrent = [](const zone_report &zone) {
        return zone.state == sync_state::current;
    };
    const auto responded = [](const node_report &node) { return node.failure.empty(); };
    return std::all_of(zones.begin(), zones.end(), zoneIsCurrent)
           && std::all_of(nodes.begin(), nodes.end(), responded);
}

std::vector<node_report> queryNodes(http_transport &transport, const std::vector<std::string> &urls)
{
    std::vector<node_report> reports;
    reports.reserve(urls.size());
    for (const std::string &url : urls)
        reports.push_back(queryNode(transport, url));
    return reports;
}

sync_state stateOf(const node_report &node, std::int64_t version, duration maxUnconfirmed)
{
    if (!node.failure.empty())
        return sync_state::no_response;
    if (!node.confirmationAgeMs
        || std::chrono::milliseconds(*node.confirmationAgeMs) > maxUnconfirmed)
        return sync_state::unconfirmed;
    return node.version < version ? sync_state::behind : sync_state::current;
}

fleet_report assessFleet(std::vector<node_report> nodes, const config_set &set,
                         std::optional<std::int64_t> version)
{
    fleet_report report;
    report.version = version.value_or(-1);
    for (const node_report &node : nodes)
        report.version = std::max(report.version, node.version);
    std::map<std::string, zone_report> zones;
    for (const zone &object : set.objects().zones)
        zones[object.name].zone = object.name;
    for (const node_report &node : nodes) {
        if (!node.failure.empty())
            continue;
        zones[node.zone].zone = node.zone;
        addTo(zones[node.zone], node, stateOf(node, report.version, set.settings().maxUnconfirmed));
    }
    for (auto &[name, zone] : zones)
        report.zones.push_back(std::move(zone));
    report.nodes = std::move(nodes);
    return report;
}

} // namespace tamarackridge
