#pragma once

#include "sidecar/event_loop.h"
#include "tamarackridge/src/base/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tamarackridge {

/// \brief How an exchange with a server ended.
enum class exchange_end : std::uint8_t {
    answered, ///< A whole answer to this request.
    refused, ///< No connection could be opened; nothing was sent.
    broken, ///< The connection ended, or carried bytes that are no answer.
    timeout,
    cancelled,
};

/// \brief Outcome of one exchange.
struct exchange_result
{
    exchange_end end = exchange_end::broken;
    bool bytesSent = false;
    http_response response; ///< Set when answered.
    bool reusable = false; ///< Whether the connection can carry another request.
    std::optional<duration> idleTime; ///< How long the server keeps it open, if it says so.
};

/// \brief Header by which an answer is matched with its request; an empty name matches all.
struct response_match
{
    std::string header;
    std::string value;
};

/// \brief One HTTP/1.1 client connection, which carries one request at a time.
///
/// Answers to earlier requests that arrive late are skipped, and a connection that carried any
/// byte beyond the answer is not used again.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using done_handler = std::function<void(exchange_result result)>;

    static std::shared_ptr<http_connection> create(boost::asio::io_context &loop,
                                                   const socket_address &address);
    http_connection() = default;
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;
    virtual ~http_connection() = default;

    /// \brief Sends a request, opening the connection first if need be.
    /// \param done is called once, never from within this function.
    virtual void exchange(const http_request &request, response_match match, time_point deadline,
                          done_handler done) = 0;
    /// \brief Closes the connection; a pending exchange ends as \a end.
    virtual void close(exchange_end end) = 0;
    /// \brief Calls \a closed once when the idle connection is closed by the other side, or sends
    /// bytes that nobody asked for.
    virtual void watchIdle(std::function<void()> closed) = 0;
    /// \returns when the pending exchange times out.
    virtual time_point deadline() const = 0;
};

} // namespace tamarackridge
