#pragma once

#include "sidecar/event_loop.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <vector>

namespace tamarackridge::soak {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \returns a random duration in the interval.
inline duration drawDuration(milliseconds least, milliseconds most, random_source &random)
{
    return least + std::chrono::duration_cast<duration>(random.unit() * (most - least));
}

/// \brief A route as callers use it.
struct caller_route
{
    std::string name;
    bool idempotent = false;
};

/// A request with this text in its path crashes each server that begins to run it.
inline constexpr std::string_view crashingPath = "/crashing-";

/// Path of the servers' health checks.
inline constexpr std::string_view healthPath = "/health";

/// Ports of a VM; the store uses the address of the first one.
enum class endpoint : std::uint8_t { callers, health, control, backend, peers, metrics, store };

/// \brief Places, addresses and documents of the sidecars and the store of a run.
namespace deployment {

inline constexpr std::size_t zones = 2;

/// \returns an address that no other process uses: runs side by side differ in their process ids.
inline socket_address address(std::size_t vm, endpoint service)
{
    constexpr int firstPort = 21000; // Below the ports that the kernel assigns.
    constexpr int blocks = 250;
    const int process = getpid();
    return {"127." + std::to_string(1 + process / blocks % blocks) + '.'
                    + std::to_string(1 + process % blocks) + '.' + std::to_string(1 + vm),
            static_cast<std::uint16_t>(firstPort + static_cast<int>(service))};
}

inline std::string zoneOf(std::size_t vm)
{
    return "zone-" + std::to_string(vm % zones);
}

/// \returns the service of a VM; each service has servers in every zone.
inline std::string serviceOf(std::size_t vm)
{
    return vm / zones % 2 == 0 ? "agenda" : "reservas";
}

/// \returns the settings file of a sidecar.
inline std::string settings(std::size_t vm)
{
    nlohmann::json result;
    for (const auto &[name, service] :
         {std::pair("callers", endpoint::callers), std::pair("health", endpoint::health),
          std::pair("backend", endpoint::backend), std::pair("peers", endpoint::peers),
          std::pair("metrics", endpoint::metrics)})
        result[name]["address"] = address(vm, service).text();
    result["node"] = {{"zone", zoneOf(vm)}, {"name", "vm-" + std::to_string(vm)}};
    for (std::size_t zone = 0; zone < zones; ++zone)
        result["node"]["zones"].push_back(zoneOf(zone));
    result["backend"]["service"] = serviceOf(vm);
    result["backend"]["control"] = address(vm, endpoint::control).text();
    result["store"]["address"] = address(0, endpoint::store).text();
    return result.dump(2);
}

/// \returns a configuration that assigns each route to a random service and draws a rate limit.
inline std::string configuration(std::int64_t version, const std::vector<caller_route> &routes,
                                 random_source &random)
{
    nlohmann::json resources = nlohmann::json::array();
    const auto add = [&resources](const char *type, const std::string &name, nlohmann::json spec) {
        resources.push_back(
                {{"type", type}, {"metadata", {{"name", name}}}, {"spec", std::move(spec)}});
    };
    for (const caller_route &route : routes) {
        nlohmann::json spec = {{"hostname", "shop.example"}, {"timeoutS", 6}, {"attempts", 2}};
        spec["pathPrefix"] = '/' + route.name + '/';
        spec["service"] = serviceOf(zones * random.below(2));
        spec["routeType"] = route.idempotent ? "idempotent" : "non_idempotent";
        add("routes", route.name, spec);
    }
    for (std::size_t vm = 0; vm <= zones; vm += zones)
        add("services", serviceOf(vm), {{"healthPath", healthPath}});
    const double rate = 30 + 30 * random.unit();
    add("tenants", "open", {{"apiKeys", {"key-open"}}});
    add("tenants", "limited", {{"apiKeys", {"key-limited"}}, {"ratePerS", rate}, {"burst", rate}});
    return nlohmann::json{{"version", version}, {"resources", resources}}.dump();
}

} // namespace deployment
} // namespace tamarackridge::soak
