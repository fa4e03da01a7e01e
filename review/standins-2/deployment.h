#pragma once

#include "http.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace review {

inline constexpr std::size_t machineCount = 4;
inline constexpr std::size_t zoneCount = 2;

/// \brief A machine with a sidecar and a server; ports are the same on all machines.
struct machine
{
    std::size_t index = 0;

    std::string zone() const { return "zone-" + std::to_string(index % zoneCount); }
    std::string name() const { return "sidecar-" + std::to_string(index); }
    /// Machines 0 and 1 run servers of one service, machines 2 and 3 of the other.
    std::string service() const { return index < zoneCount ? "lookup" : "charge"; }
    std::string instance() const { return "i-" + std::to_string(index); }

    address outbound() const { return at(8548); }
    address ready() const { return at(8546); }
    address control() const { return at(8540); }
    address app() const { return at(8547); }
    address at(std::uint16_t port) const { return {host(index), port}; }

    /// \returns a loopback address; runs side by side differ in their process ids.
    static std::string host(std::size_t index)
    {
        constexpr int blockSize = 250;
        const int process = getpid();
        return "127." + std::to_string(1 + process / blockSize % blockSize) + '.'
               + std::to_string(1 + process % blockSize) + '.' + std::to_string(10 + index);
    }
};

inline std::string replaceAll(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

inline std::string readFile(const std::string &fileName)
{
    std::ostringstream text;
    text << std::ifstream(fileName).rdbuf();
    return text.str();
}

/// \brief Fills the template of the settings in as the platform does.
inline std::string settingsOf(const machine &item, std::string text, const address &store)
{
    std::string zones;
    for (std::size_t zone = 0; zone < zoneCount; ++zone)
        zones += (zone > 0 ? ",\"" : "\"") + machine{zone}.zone() + '"';
    text = replaceAll(text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones);
    const std::vector<std::pair<std::string, std::string>> values = {
            {"zone", item.zone()},
            {"node", item.name()},
            {"service", item.service()},
            {"appAddr", item.app().text()},
            {"listen.outbound", item.outbound().text()},
            {"listen.ready", item.ready().text()},
            {"listen.control", item.control().text()},
            {"ip", machine::host(item.index)},
            {"internalPorts.0", "7000"},
            {"internalPorts.1", "7015"},
            {"platform.address", store.text()},
    };
    for (const auto &[name, value] : values)
        text = replaceAll(text, "{{" + name + "}}", value);
    return text;
}

/// \returns the operator's configuration: an idempotent and a non-idempotent route, each to a
/// service of its own. With \a tenant, the requests need its key.
inline std::string configuration(const std::string &tenant)
{
    const auto route = [](const std::string &name, const std::string &service, bool idempotent) {
        return R"({"type":"routes","metadata":{"name":")" + name
               + R"("},"spec":{"hostname":"site.example","pathPrefix":"/)" + name
               + R"(/","routeType":")" + (idempotent ? "idempotent" : "non_idempotent")
               + R"(","timeoutS":3,"targetLatencyS":1.5,"priority":1,"service":")" + service
               + R"(","attempts":2,"public":false}},)";
    };
    const auto service = [](const std::string &name) {
        return R"({"type":"services","metadata":{"name":")" + name
               + R"("},"spec":{"healthPath":"/health","maxConnections":880,"protocol":"h1",)"
               + R"("tls":false}},)";
    };
    return R"({"version":1,"resources":[)" + route("lookup", "lookup", true)
           + route("charge", "charge", false) + service("lookup") + service("charge") + tenant
           + R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
           + R"("maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
}

} // namespace review
