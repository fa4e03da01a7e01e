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

/// \brief Prefix of the paths that the node answers itself.
constexpr std::string_view ownPathPrefix = "/.tamarackridge/";

/// \brief What the node's own paths need from the rest of the node.
struct own_path_services
{
    std::function<node_status()> status;
    std::function<bool()> shellReady; ///< Whether all supervised threads run.
    std::function<std::string()> metrics;
    std::function<void(const backend_announcement &, const http_target &)> announce;
    std::function<void()> drain;
};

/// \brief Who may use the paths that change the node.
struct own_path_access
{
    std::string adminToken; ///< Empty: no token is accepted.
    std::vector<std::string> ownAddresses; ///< Addresses of the own VM.
    std::string backendAddress; ///< Empty: the announcement's sender.
};

/// \brief Answers the node's own paths.
class own_paths
{
public:
    own_paths(own_path_services services, own_path_access access);

    /// \returns nothing if node_core is to answer the request.
    std::optional<http_response> respond(const http_request &request,
                                         const caller_connection &connection) const;

private:
    struct path_entry
    {
        std::string_view name;
        std::string_view method; ///< Empty: any.
        http_response (own_paths::*reply)(const http_request &, const caller_connection &) const;
    };
    static const std::vector<path_entry> &table();

    http_response status(const http_request &, const caller_connection &) const;
    http_response health(const http_request &, const caller_connection &) const;
    http_response ready(const http_request &, const caller_connection &) const;
    http_response metrics(const http_request &, const caller_connection &) const;
    http_response announce(const http_request &request, const caller_connection &connection) const;
    http_response drain(const http_request &request, const caller_connection &connection) const;
    http_response logLevel(const http_request &request, const caller_connection &connection) const;

    bool isOwnVm(const std::string &address) const;
    bool mayAdminister(const http_request &request, const caller_connection &connection) const;

    own_path_services m_services;
    own_path_access m_access;
};

/// \returns the numeric addresses of this machine's interfaces.
std::vector<std::string> interfaceAddresses();

} // namespace tamarackridge
