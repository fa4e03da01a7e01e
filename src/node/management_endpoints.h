#pragma once

#include "node/caller_server.h"
#include "process/http_client.h"

#include "tamarackridge/src/node/node_core.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Path prefix of requests to the node itself, as opposed to requests for a backend server.
constexpr std::string_view managementPathPrefix = "/.tamarackridge/";

/// \brief Functions of the node that management_endpoints calls.
struct management_services
{
    std::function<node_status()> status;
    std::function<bool()> allThreadsRunning; ///< Whether all supervised threads run.
    std::function<std::string()> metrics;
    std::function<void(const backend_announcement &, const http_target &)> announce;
    std::function<void()> drain;
};

/// \brief Determines who may announce a backend server or change the node.
struct management_access
{
    std::string adminToken; ///< Empty: no token is accepted.
    std::vector<std::string> localAddresses; ///< Addresses of this node's VM.
    std::string backendAddress; ///< Empty: the address of the announcement's sender.
};

/// \brief Handles HTTP requests to the node itself: status, health, metrics, announcements of the
/// backend server, drain and log level.
class management_endpoints
{
public:
    management_endpoints(management_services services, management_access access);

    /// \returns the response, or nothing if node_core has to handle the request.
    std::optional<http_response> respond(const http_request &request,
                                         const caller_connection &connection) const;

private:
    struct endpoint
    {
        std::string_view name;
        std::string_view method; ///< Empty: any.
        http_response (management_endpoints::*reply)(const http_request &,
                                                     const caller_connection &) const;
    };
    static const std::vector<endpoint> &table();

    http_response status(const http_request &, const caller_connection &) const;
    http_response health(const http_request &, const caller_connection &) const;
    http_response ready(const http_request &, const caller_connection &) const;
    http_response metrics(const http_request &, const caller_connection &) const;
    http_response announce(const http_request &request, const caller_connection &connection) const;
    http_response drain(const http_request &request, const caller_connection &connection) const;
    http_response logLevel(const http_request &request, const caller_connection &connection) const;

    bool isLocalVm(const std::string &address) const;
    bool mayAdminister(const http_request &request, const caller_connection &connection) const;

    management_services m_services;
    management_access m_access;
};

/// \returns the numeric addresses of this VM's network interfaces; empty if they cannot be read.
std::vector<std::string> interfaceAddresses();

} // namespace tamarackridge
