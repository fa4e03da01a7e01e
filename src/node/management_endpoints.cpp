#include "node/management_endpoints.h"

#include "node/error_reply.h"
#include "node/status_text.h"
#include "process/hop_headers.h"
#include "process/json_line.h"
#include "process/log.h"
#include "process/settings.h"

#include <gnutls/gnutls.h>
#include <ifaddrs.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <limits>

namespace tamarackridge {
namespace {

struct announcement_body
{
    backend_announcement announcement;
    std::uint16_t port = 0;
};

// Reads the body of an announcement, whose fields are checked like those of a settings file.
std::vector<settings_error> readAnnouncement(std::string_view text, announcement_body &out)
{
    std::int64_t slots = 0;
    const std::vector<settings_field> fields = {
            stringField("service", out.announcement.service),
            stringField("instance", out.announcement.instance),
            portField("port", out.port),
            integerField("slots", slots, 0, std::numeric_limits<std::int32_t>::max()),
            boolField("leaving", out.announcement.leaving),
    };
    std::vector<settings_error> errors = readSettings(text, fields);
    out.announcement.slots = static_cast<std::uint32_t>(slots);
    return errors;
}

http_response invalidBodyReply(const std::vector<settings_error> &errors)
{
    http_response response = errorReply(error_kind::bad_request);
    std::string list = "[";
    for (const settings_error &error : errors) {
        if (list.size() > 1)
            list += ',';
        appendJsonString(toString(error), list);
    }
    list += ']';
    response.body = std::make_shared<const std::string>(
            json_line().add("error", "bad_request").addRaw("faults", list).finish());
    return response;
}

std::string_view pathOf(const std::string &target)
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace

management_endpoints::management_endpoints(management_services services, management_access access)
    : m_services(std::move(services))
    , m_access(std::move(access))
{ }

const std::vector<management_endpoints::endpoint> &management_endpoints::table()
{
    static const std::vector<endpoint> entries = {
            {"status", "GET", &management_endpoints::status},
            {"health", "GET", &management_endpoints::health},
            {"ready", "GET", &management_endpoints::ready},
            {"metrics", "GET", &management_endpoints::metrics},
            {"announce", "POST", &management_endpoints::announce},
            {"drain", "POST", &management_endpoints::drain},
            {"log-level", "", &management_endpoints::logLevel},
    };
    return entries;
}

std::optional<http_response>
management_endpoints::respond(const http_request &request,
                              const caller_connection &connection) const
{
    std::string_view path = pathOf(request.target);
    if (!path.starts_with(managementPathPrefix))
        return std::nullopt;
    path.remove_prefix(managementPathPrefix.size());
    if (path == "request-ids") // node_core issues them.
        return std::nullopt;
    const auto found = std::find_if(table().begin(), table().end(),
                                    [&](const endpoint &entry) { return entry.name == path; });
    if (found == table().end())
        return errorReply(error_kind::unknown_route);
    if (!found->method.empty() && found->method != request.method)
        return errorReply(error_kind::method_not_allowed);
    return (this->*found->reply)(request, connection);
}

http_response management_endpoints::status(const http_request &, const caller_connection &) const
{
    return jsonReply(200, statusText(m_services.status()));
}

http_response management_endpoints::health(const http_request &, const caller_connection &) const
{
    return jsonReply(200, R"({"healthy":true})");
}

http_response management_endpoints::ready(const http_request &, const caller_connection &) const
{
    const node_status status = m_services.status();
    const bool ready = status.ready && !status.leaving && m_services.allThreadsRunning();
    return jsonReply(ready ? 200 : 503, json_line().add("ready", ready).finish());
}

http_response management_endpoints::metrics(const http_request &, const caller_connection &) const
{
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            std::make_shared<const std::string>(m_services.metrics())};
}

http_response management_endpoints::announce(const http_request &request,
                                             const caller_connection &connection) const
{
    const std::string sender = addressText(connection.address);
    if (!isLocalVm(sender))
        return errorReply(error_kind::announcement_refused);
    announcement_body body;
    const std::vector<settings_error> errors = readAnnouncement(bodyView(request.body), body);
    if (!errors.empty())
        return invalidBodyReply(errors);
    const std::string &host = m_access.backendAddress.empty() ? sender : m_access.backendAddress;
    m_services.announce(body.announcement, {host, body.port});
    return jsonReply(200, "{}");
}

http_response management_endpoints::drain(const http_request &request,
                                          const caller_connection &connection) const
{
    if (!mayAdminister(request, connection))
        return errorReply(error_kind::key_unknown);
    m_services.drain();
    return jsonReply(202, R"({"leaving":true})");
}

http_response management_endpoints::logLevel(const http_request &request,
                                             const caller_connection &connection) const
{
    if (request.method != "GET") {
        if (!mayAdminister(request, connection))
            return errorReply(error_kind::key_unknown);
        std::string name;
        const std::vector<settings_field> fields = {choiceField(
                "level", name, {"debug", "info", "warning", "error"}, field_presence::required)};
        const std::vector<settings_error> errors = readSettings(bodyView(request.body), fields);
        if (!errors.empty())
            return invalidBodyReply(errors);
        setLogLevel(*logLevelFrom(name));
    }
    return jsonReply(200, json_line().add("level", toString(currentLogLevel())).finish());
}

bool management_endpoints::isLocalVm(const std::string &address) const
{
    return std::find(m_access.localAddresses.begin(), m_access.localAddresses.end(), address)
           != m_access.localAddresses.end();
}

bool management_endpoints::mayAdminister(const http_request &request,
                                         const caller_connection &connection) const
{
    if (isLocalVm(addressText(connection.address)))
        return true;
    const std::string expected = "Bearer " + m_access.adminToken;
    const std::string_view given = headerValue(request.headers, "Authorization");
    // The comparison takes constant time, so that the token cannot be guessed from response times.
    return !m_access.adminToken.empty() && given.size() == expected.size()
           && gnutls_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

std::vector<std::string> interfaceAddresses()
{
    ifaddrs *first = nullptr;
    std::vector<std::string> addresses;
    if (getifaddrs(&first) != 0)
        return addresses;
    for (const ifaddrs *item = first; item != nullptr; item = item->ifa_next) {
        if (item->ifa_addr != nullptr
            && (item->ifa_addr->sa_family == AF_INET || item->ifa_addr->sa_family == AF_INET6)) {
            addresses.push_back(addressText(item->ifa_addr));
        }
    }
    freeifaddrs(first);
    return addresses;
}

} // namespace tamarackridge
