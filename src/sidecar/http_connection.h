#pragma once

#include "sidecar/event_loop.h"
#include "tamarackridge/src/base/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tamarackridge {

/// \brief How an HTTP exchange with a server ended.
enum class exchange_outcome : std::uint8_t {
    completed, ///< A complete response to this request arrived.
    refused, ///< No connection could be opened; nothing was sent.
    broken, ///< The connection broke, or the bytes received are no HTTP response within the limits.
    timeout,
    cancelled,
};

/// \brief Result of one exchange.
struct exchange_result
{
    exchange_outcome end = exchange_outcome::broken;
    bool bytesSent = false; ///< False only if no byte of the request was sent.
    http_response response; ///< Set when \a end is `answered`.
    bool reusable = false; ///< Whether the connection can carry another request.
    std::optional<duration> idleTimeout; ///< Keep-Alive timeout that the server sent, if any.
    std::string brokenBy; ///< Why the exchange is `broken`, for the log.
};

/// \brief Header that must have this value in a response for it to belong to the request; an empty
/// name matches every response.
struct response_match
{
    std::string header;
    std::string value;
};

/// \brief One HTTP/1.1 client connection, which carries one request at a time.
///
/// Skips a few late responses to earlier requests. A connection on which such a response or any
/// byte after the response arrived is not reused. An exchange ends as `broken` when the response
/// exceeds a limit: 64 KiB of headers, 16 MiB of body, 16 skipped responses; when its head is
/// malformed; and when a response without a length ends with anything but an orderly close.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using done_handler = std::function<void(exchange_result result)>;
    /// \brief Receives each change of heldBytes(). May close the connection.
    using growth_handler = std::function<void(std::int64_t change)>;

    static std::shared_ptr<http_connection> create(
            boost::asio::io_context &loop, const socket_address &address,
            growth_handler grown = [](std::int64_t) {});
    http_connection() = default;
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;
    virtual ~http_connection() = default;

    /// \brief Sends a request; opens the connection first if it is closed.
    /// \param done is called once, never from within this function.
    virtual void exchange(const http_request &request, response_match match, time_point deadline,
                          done_handler done) = 0;
    /// \brief Closes the connection; a pending exchange ends as \a end.
    virtual void close(exchange_outcome end) = 0;
    /// \brief Closes the connection; a pending exchange ends as `broken` because of \a cause.
    virtual void breakOff(std::string cause) = 0;
    /// \brief Calls \a closed once when the server closes the idle connection or sends unexpected
    /// bytes on it.
    virtual void watchIdle(std::function<void()> closed) = 0;
    /// \returns the deadline of the pending exchange; time_point::max() when none is pending.
    virtual time_point deadline() const = 0;
    /// \returns the memory of the response that is being received, in bytes.
    virtual std::size_t heldBytes() const = 0;
};

} // namespace tamarackridge
