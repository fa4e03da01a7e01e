#pragma once

#include "sidecar/http_connection.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace tamarackridge {

/// \brief Which open connections an exchange may reuse.
enum class connection_reuse : std::uint8_t {
    any,
    /// Only connections that were used a moment ago, for requests that must not be sent twice: a
    /// server can drop an idle connection without notice, and resets what is sent on it next.
    recently_used,
    /// A new connection only, for requests without an id: a late response to an earlier request
    /// could not be told from theirs.
    none,
};

/// \brief Pool of connections to one server, each of which carries one request at a time.
///
/// Reuses the most recently used connection first, so that the others become idle and are closed
/// early. Does not reuse a connection that the server has closed or is about to close. After a
/// failure on a connection that had been idle, only recently used ones are reused for a while. The
/// responses that are being received hold 32 MiB at most, over all connections.
class connection_pool
{
public:
    using exchange_id = std::uint64_t;

    connection_pool(boost::asio::io_context &loop, const socket_address &server)
        : m_loop(loop)
        , m_server(server)
    { }
    connection_pool(const connection_pool &) = delete;
    connection_pool &operator=(const connection_pool &) = delete;
    ~connection_pool();

    /// \brief Sends a request on an idle or a new connection.
    /// \param done is called once, never from within this function.
    exchange_id exchange(const http_request &request, response_match match, time_point deadline,
                         connection_reuse reuse, http_connection::done_handler done);
    /// \brief Closes the connection of a pending exchange, which then ends as `cancelled`.
    void cancel(exchange_id id);
    /// \brief Ends exchanges that are past their deadline and closes connections idle for too long.
    void sweep(time_point now);

    /// \returns the bytes of the responses that are being received, over all connections.
    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t idle() const { return m_idle.size(); }
    std::size_t busy() const { return m_busy.size(); }
    std::uint64_t opened() const { return m_opened; }

private:
    struct idle_connection
    {
        std::shared_ptr<http_connection> connection;
        time_point idleSince;
        time_point usableUntil;
    };

    std::shared_ptr<http_connection> open();
    /// \brief Ends exchanges, those with the longest responses first, until the sum is in bounds.
    void limitHeldBytes();
    std::shared_ptr<http_connection> takeIdle(connection_reuse reuse, time_point now);
    void keepIdle(const std::shared_ptr<http_connection> &connection,
                  const std::optional<duration> &idleTimeout);

    boost::asio::io_context &m_loop;
    socket_address m_server;
    std::vector<idle_connection> m_idle; ///< The most recently used one is the last.
    std::unordered_map<exchange_id, std::shared_ptr<http_connection>> m_busy;
    time_point m_recentOnlyUntil; ///< Until then only recently used connections are reused.
    exchange_id m_lastId = 0;
    std::uint64_t m_opened = 0;
    std::size_t m_heldBytes = 0;
    /// Shared with pending handlers; false once the pool is destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace tamarackridge
