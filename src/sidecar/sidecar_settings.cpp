#include "sidecar/sidecar_settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace tamarackridge {
namespace {

constexpr std::int64_t stopSecondsLimit = 3600;
// Time before SIGKILL in which callers get the last responses and the process exits.
constexpr duration exitMargin = std::chrono::milliseconds(700);
// While the grace time is not known, it is at least this much longer than exitMargin.
constexpr duration shortestStop = std::chrono::seconds(5);

settings_field addressField(std::string path, socket_address &target)
{
    const std::string expected = "an IPv4 address and a port, for example 10.0.0.5:8080";
    return {std::move(path), expected, field_presence::required,
            [&target, expected](const nlohmann::json &value) -> std::vector<settings_error> {
                const std::optional<socket_address> address =
                        value.is_string() ? parseSocketAddress(value.get<std::string>())
                                          : std::nullopt;
                if (!address)
                    return {{"", expected}};
                target = *address;
                return {};
            }};
}

} // namespace

tl::expected<std::optional<duration>, std::string> parseGraceTime(std::string_view text)
{
    if (text.empty())
        return std::nullopt;
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || end != text.data() + text.size() || !(seconds > 0)
        || seconds > stopSecondsLimit)
        return tl::unexpected("'" + std::string(text) + "' is no number of seconds up to "
                              + std::to_string(stopSecondsLimit));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

stop_limits stopLimits(const sidecar_settings &settings)
{
    if (settings.graceTime) {
        const duration limit = std::max(*settings.graceTime - exitMargin, *settings.graceTime / 2);
        return {limit, limit};
    }
    const duration longest = std::chrono::seconds(settings.maxStopSeconds);
    return {std::min(longest, shortestStop), longest};
}

std::vector<settings_error> readSidecarSettings(const std::string &fileName, sidecar_settings &out)
{
    const std::vector<settings_field> fields = {
            stringField("node.zone", out.zone),
            stringListField("node.zones", out.zones, field_presence::required),
            stringField("node.name", out.name),
            stringField("backend.service", out.service),
            addressField("backend.address", out.backend),
            addressField("backend.control", out.control),
            addressField("callers.address", out.callers),
            addressField("health.address", out.health),
            addressField("peers.address", out.peers),
            addressField("metrics.address", out.metrics),
            addressField("store.address", out.store),
            integerField("stop.longest_s", out.maxStopSeconds, 1, stopSecondsLimit),
    };
    std::vector<settings_error> errors = readSettingsFile(fileName, fields);
    const bool listed = std::find(out.zones.begin(), out.zones.end(), out.zone) != out.zones.end();
    if (errors.empty() && !listed)
        errors.push_back({"node.zones", "a list that contains node.zone"});
    return errors;
}

} // namespace tamarackridge
