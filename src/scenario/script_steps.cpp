#include "scenario/script_runner.h"

#include <algorithm>
#include <array>
#include <fstream>

namespace tamarackridge::scenario {

namespace {

using fleet_function = void (virtual_fleet::*)(const std::string &);

struct fleet_verb
{
    std::string_view verb;
    fleet_function function;
};

constexpr std::array zoneVerbs{fleet_verb{"cut", &virtual_fleet::cutZone},
                               fleet_verb{"heal", &virtual_fleet::healZone},
                               fleet_verb{"cut-log", &virtual_fleet::cutLog},
                               fleet_verb{"heal-log", &virtual_fleet::healLog}};

constexpr std::array nodeVerbs{fleet_verb{"kill", &virtual_fleet::kill},
                               fleet_verb{"stop", &virtual_fleet::stop},
                               fleet_verb{"replace", &virtual_fleet::replace},
                               fleet_verb{"pause", &virtual_fleet::pause},
                               fleet_verb{"resume", &virtual_fleet::resume},
                               fleet_verb{"crash", &virtual_fleet::crashBackend},
                               fleet_verb{"restart", &virtual_fleet::restartBackend},
                               fleet_verb{"freeze", &virtual_fleet::freezeBackend}};

template <typename Table>
fleet_function findFunction(const Table &table, std::string_view verb)
{
    for (const fleet_verb &entry : table) {
        if (entry.verb == verb)
            return entry.function;
    }
    return nullptr;
}

} // namespace

bool script_runner::runTimedLine(const script_line &line)
{
    if (line.verb == "load")
        return load(line);
    if (line.verb == "replay")
        return replay(line);
    if (line.verb == "log")
        return log(line);
    if (line.verb == "slow")
        return slow(line);
    if (line.arguments.size() != 1)
        return false;
    const std::string &name = line.arguments.front();
    const fleet_function zoneFunction = findFunction(zoneVerbs, line.verb);
    const fleet_function nodeFunction = findFunction(nodeVerbs, line.verb);
    if (!(zoneFunction != nullptr && isZone(name)) && !(nodeFunction != nullptr && isNode(name)))
        return false;
    const fleet_function function = zoneFunction != nullptr ? zoneFunction : nodeFunction;
    if (function == nullptr)
        return false;
    (m_sample->fleet.*function)(name);
    return true;
}

bool script_runner::isNode(const std::string &name) const
{
    const std::size_t dash = name.find('-');
    return dash != std::string::npos && isZone(name.substr(0, dash));
}

bool script_runner::isZone(const std::string &name) const
{
    return std::find(m_sample->zones.begin(), m_sample->zones.end(), name) != m_sample->zones.end();
}

std::optional<caller_group> script_runner::callerGroup(const script_line &line) const
{
    const std::string customer = line.verb == "replay"
                                         ? line.option("customer").value_or("")
                                         : (line.arguments.empty() ? "" : line.arguments.front());
    if (!m_sample->configuration.keys.contains(customer))
        return std::nullopt;
    caller_group group;
    group.customer = customer;
    group.zones = m_sample->zones;
    if (const std::optional<std::string> zones = line.option("zones"))
        group.zones = splitAtCommas(*zones);
    if (const std::optional<std::string> target = line.option("target"))
        group.target = *target;
    group.writeShare = parseNumber(line.option("writes").value_or("0")).value_or(0);
    group.resends = static_cast<int>(parseNumber(line.option("resends").value_or("0")).value_or(0));
    return group;
}

bool script_runner::load(const script_line &line)
{
    std::optional<caller_group> group = callerGroup(line);
    const double rate = parseNumber(line.option("rate").value_or("0")).value_or(0);
    const std::optional<duration> time = parseDuration(line.option("for").value_or(""));
    if (!group || rate <= 0 || !time)
        return false;
    group->rate = rate;
    m_load->start(*group, *time);
    return true;
}

bool script_runner::replay(const script_line &line)
{
    const std::optional<caller_group> group = callerGroup(line);
    if (!group || line.arguments.empty())
        return false;
    std::ifstream file(m_folder + "/" + line.arguments.front());
    const tl::expected<std::vector<recorded_request>, script_error> trace = readTrace(file);
    if (!trace || trace->empty())
        return false;
    m_load->replay(*group, *trace);
    return true;
}

bool script_runner::log(const script_line &line)
{
    const std::string state = line.arguments.empty() ? std::string() : line.arguments.front();
    if (state == "lose-answers" && line.arguments.size() == 2) {
        m_sample->fleet.log().loseNextResponses(
                static_cast<int>(parseNumber(line.arguments[1]).value_or(0)));
        return true;
    }
    m_sample->fleet.log().setAvailable(state == "up");
    return state == "up" || state == "down";
}

bool script_runner::slow(const script_line &line)
{
    const std::optional<duration> time =
            line.arguments.size() == 2 ? parseDuration(line.arguments[1]) : std::nullopt;
    if (!time)
        return false;
    bool found = false;
    for (const std::string &name : m_sample->fleet.names()) {
        if (!name.ends_with("-" + line.arguments.front()))
            continue;
        m_sample->fleet.backend(name).setServiceTime(*time);
        found = true;
    }
    return found;
}

} // namespace tamarackridge::scenario
