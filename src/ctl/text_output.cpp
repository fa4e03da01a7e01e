#include "ctl/text_output.h"

#include <nlohmann/json.hpp>

#include <array>

namespace tamarackridge {
namespace {

using json = nlohmann::json;

std::string_view toString(publication_outcome outcome)
{
    constexpr std::array<std::string_view, 3> names = {"applied", "conflict", "invalid"};
    return names[static_cast<std::size_t>(outcome)];
}

std::size_t countObjects(const json &sections)
{
    std::size_t count = 0;
    for (const auto &[section, content] : sections.items())
        count += section == "settings" ? 1 : content.size();
    return count;
}

json historyJson(const history_entry &entry)
{
    const log_record &record = entry.record;
    const std::int64_t age = std::chrono::duration_cast<std::chrono::seconds>(record.age).count();
    json line = {{"offset", record.offset}, {"age_s", age}};
    const tl::expected<config_record, error_kind> decoded = decodeConfigRecord(record.data);
    if (!decoded) {
        line["kind"] = "undecodable";
        return line;
    }
    if (const config_snapshot *snapshot = std::get_if<config_snapshot>(&*decoded)) {
        line.update({{"kind", "snapshot"},
                     {"version", snapshot->version},
                     {"covered", snapshot->covered}});
        return line;
    }
    const publication &change = std::get<publication>(*decoded);
    const json delta = json::parse(toJson(change.delta));
    line.update({{"kind", "publish"},
                 {"id", change.id},
                 {"base", change.base},
                 {"upserts", countObjects(delta["upserts"])},
                 {"deletes", countObjects(delta["deletes"])},
                 {"outcome", entry.result ? toString(entry.result->outcome) : "unknown"}});
    return line;
}

json nodeJson(const node_report &node, std::int64_t version, duration maxUnconfirmed)
{
    json line = {{"url", node.url}, {"state", toString(stateOf(node, version, maxUnconfirmed))}};
    if (!node.failure.empty()) {
        line["failure"] = node.failure;
        return line;
    }
    line.update({{"zone", node.zone}, {"node", node.node}, {"version", node.version}});
    line["confirmation_age_ms"] =
            node.confirmationAgeMs ? json(*node.confirmationAgeMs) : json(nullptr);
    return line;
}

json statusJson(const fleet_report &report, duration maxUnconfirmed)
{
    json zones = json::array();
    for (const zone_report &zone : report.zones)
        zones.push_back({{"zone", zone.zone},
                         {"state", toString(zone.state)},
                         {"lowest_version", zone.minVersion},
                         {"nodes_heard", zone.respondingNodes}});
    json nodes = json::array();
    for (const node_report &node : report.nodes)
        nodes.push_back(nodeJson(node, report.version, maxUnconfirmed));
    return {{"version", report.version}, {"zones", zones}, {"nodes", nodes}};
}

/// \returns the fields of a flat JSON object as one line of `name=value` pairs.
std::string toNameValueLine(const json &object)
{
    std::string line;
    for (const auto &[name, value] : object.items()) {
        line += line.empty() ? "" : "  ";
        line += name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return line;
}

} // namespace

std::string deltaLines(const config_delta &delta, const config_set &before)
{
    const json change = json::parse(toJson(delta));
    const json old = json::parse(toJson(before));
    std::string lines;
    for (const auto &[section, objects] : change["upserts"].items()) {
        if (section == "settings") {
            lines += "~ settings\n";
            continue;
        }
        for (const auto &[name, object] : objects.items()) {
            const bool known = old.contains(section) && old[section].contains(name);
            lines.append(known ? "~ " : "+ ").append(section).append("/").append(name).append("\n");
        }
    }
    for (const object_name &name : delta.deletes)
        lines.append("- ").append(name.section).append("/").append(name.name).append("\n");
    return lines;
}

std::string errorsJson(const config_errors &errors)
{
    json list = json::array();
    for (const config_error &error : errors)
        list.push_back(
                {{"object", error.object}, {"field", error.field}, {"message", error.message}});
    return json{{"faults", list}}.dump();
}

std::string historyText(const history_entry &entry, bool asJson)
{
    const json line = historyJson(entry);
    return asJson ? line.dump() : toNameValueLine(line);
}

std::string statusText(const fleet_report &report, duration maxUnconfirmed, bool asJson)
{
    const json status = statusJson(report, maxUnconfirmed);
    if (asJson)
        return status.dump() + "\n";
    std::string lines = "version in force: " + std::to_string(report.version) + "\n";
    for (const json &zone : status["zones"])
        lines += toNameValueLine(zone) + "\n";
    for (const json &node : status["nodes"])
        lines += toNameValueLine(node) + "\n";
    return lines;
}

} // namespace tamarackridge
