#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct sockaddr;

namespace tamarackridge {

/// \brief Maximum size of a response's headers. A connection's memory has to hold them together
/// with the request's headers.
constexpr std::size_t maxResponseHeaderBytes = std::size_t{12} << 10U;

/// \brief Address that callers connect to, and limits for their requests and connections.
struct caller_server_options
{
    std::string address = "0.0.0.0"; ///< Numeric IPv4 or IPv6 address to listen on.
    std::uint16_t port = 0; ///< 0 chooses a free port.
    std::size_t maxBodyBytes = std::size_t{4} << 20U;
    std::size_t maxHeaderBytes = std::size_t{12} << 10U;
    unsigned maxConnections = 1200;
    unsigned idleTimeoutSeconds = 120; ///< Connections without traffic for longer are closed.
};

/// \brief The connection over which a request arrived.
struct caller_connection
{
    /// The caller's address; valid while the request is handled.
    const sockaddr *address = nullptr;
    int socket = -1;
};

/// \returns the numeric form of an IPv4 or IPv6 address without its port.
std::string addressText(const sockaddr *address);

/// \brief HTTP server for callers, with one thread for each connection.
///
/// A connection takes about 47 kB of resident memory, mostly libmicrohttpd's memory for headers and
/// the thread's stack: with 1,000 connections and the default limits, a node's resident memory
/// rises from 18 MB to 62 MB after one request on each connection, and to 65 MB after six more
/// requests with 8 kB of headers.
///
/// A request that exceeds a limit or ends early gets the response of the error table and is not
/// passed to the handler. The only exception is a header block larger than libmicrohttpd's
/// connection memory, to which the library itself responds with status 431.
class caller_server
{
public:
    /// Handles one request. Runs on the connection's thread and may block until the response is
    /// available.
    using handler = std::function<http_response(http_request request, const caller_connection &)>;

    /// \brief Starts listening; throws std::runtime_error if that fails.
    caller_server(const caller_server_options &options, handler handle);
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;
    ~caller_server();

    std::uint16_t port() const;
    /// \brief Closes each connection after its next response. Called when the node begins to leave
    /// the fleet.
    void closeAfterResponses();
    /// \brief Stops accepting connections and waits until the existing ones are closed.
    ///
    /// Connections that the operating system has already accepted are still served, because a
    /// caller may have sent a request on them. The wait is bounded, and shorter if all connections
    /// are idle.
    void stopGracefully();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
