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

/// \brief Upper bound of an answer's headers: they have to fit into a connection's memory beside
/// those of the request.
constexpr std::size_t maxResponseHeaderBytes = std::size_t{12} << 10U;

/// \brief Where callers connect, and the limits of what they send.
struct caller_server_options
{
    std::string address = "0.0.0.0"; ///< Numeric IPv4 or IPv6 address to listen on.
    std::uint16_t port = 0; ///< 0 chooses a free port.
    std::size_t maxBodyBytes = std::size_t{4} << 20U;
    std::size_t maxHeaderBytes = std::size_t{12} << 10U;
    unsigned maxConnections = 1200;
    unsigned idleSeconds = 120; ///< Connections without any traffic for longer are closed.
};

/// \brief The connection that a request came over.
struct caller_connection
{
    const sockaddr *address = nullptr; ///< Of the caller; valid during the request.
    int socket = -1;
};

/// \returns the numeric form of an IPv4 or IPv6 address without its port.
std::string addressText(const sockaddr *address);

/// \brief HTTP server for callers, with one thread for each connection.
///
/// With 1,000 connections and the default limits, a node grew from 18 MB to 62 MB of resident
/// memory after one request on each and to 65 MB after six more with 8 kB of headers: 47 kB for
/// each connection, mostly libmicrohttpd's memory for headers and the thread's stack.
///
/// Requests that break a limit or end early are answered from the error table and never reach the
/// handler. The one exception is a header block larger than libmicrohttpd's connection memory, for
/// which that library sends its own 431 answer.
class caller_server
{
public:
    /// Runs on the connection's thread and may block until the answer is known.
    using handler = std::function<http_response(http_request request, const caller_connection &)>;

    /// \brief Starts to listen; throws std::runtime_error if that fails.
    caller_server(const caller_server_options &options, handler handle);
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;
    ~caller_server();

    std::uint16_t port() const;
    /// \brief Closes each connection after its next answer; used while the node is leaving.
    void closeAfterResponses();
    /// \brief Accepts no more connections and lets the present ones end.
    ///
    /// Connections that the system has accepted already are still served: a caller may have sent
    /// its request on one. Idle connections are left open for a short time only.
    void finish();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
