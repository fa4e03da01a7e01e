#include "tamarackridge/src/membership/member.h"

#include <nlohmann/json.hpp>

#include <array>

namespace tamarackridge {
namespace {

constexpr std::array<std::string_view, 4> stateNames{"starting", "serving", "leaving", "left"};

std::optional<member_state> parseState(std::string_view name)
{
    for (std::size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames[index] == name)
            return static_cast<member_state>(index);
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(member_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

overlay_entry encodeMember(const member &source)
{
    nlohmann::json payload{{"zone", source.node.zone},
                           {"endpoint", source.endpoint},
                           {"service", source.service},
                           {"slots", source.slots},
                           {"state", std::string(toString(source.state))},
                           {"quota", source.holdsQuota},
                           {"successor", source.successor}};
    if (source.server) {
        payload["server"] = source.server->instance;
        payload["server_start"] = source.server->startedAt;
    }
    if (source.departure) {
        payload["departed"] = source.departure->instance;
        if (source.departure->startedAt)
            payload["departed_start"] = *source.departure->startedAt;
    }
    return {entry_kind::member, source.node.name, source.version(), payload.dump()};
}

std::optional<member> decodeMember(const overlay_entry &entry)
{
    const nlohmann::json payload = nlohmann::json::parse(entry.payload, nullptr, false);
    if (!payload.is_object())
        return std::nullopt;
    try {
        const std::optional<member_state> state =
                parseState(payload.at("state").get<std::string>());
        if (!state || entry.key.empty())
            return std::nullopt;
        member result;
        result.node = {payload.at("zone").get<std::string>(), entry.key, entry.version.incarnation};
        result.counter = entry.version.counter;
        result.endpoint = payload.at("endpoint").get<std::string>();
        result.service = payload.at("service").get<std::string>();
        result.slots = payload.at("slots").get<std::uint32_t>();
        result.state = *state;
        result.holdsQuota = payload.at("quota").get<bool>();
        result.successor = payload.at("successor").get<std::string>();
        if (payload.contains("server"))
            result.server = {payload.at("server").get<std::string>(),
                             payload.at("server_start").get<std::int64_t>()};
        if (payload.contains("departed")) {
            server_departure &departure = result.departure.emplace();
            departure.instance = payload.at("departed").get<std::string>();
            if (payload.contains("departed_start"))
                departure.startedAt = payload.at("departed_start").get<std::int64_t>();
        }
        return result;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

overlay_entry encodeSuspicion(const member &subject)
{
    return {entry_kind::suspicion, subject.node.name, subject.version(), {}};
}

} // namespace tamarackridge
