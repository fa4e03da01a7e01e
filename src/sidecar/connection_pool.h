#pragma once

#include "sidecar/http_connection.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace tamarackridge {

/// \brief Which open connections an exchange may use.
enum class connection_reuse : std::uint8_t {
    any,
    /// Those that were in use just now, for requests that may not be sent again: a server can
    /// forget an idle connection without notice, and resets what is sent on it next.
    recently_used,
};

/// \brief Connections to one server, of which each carries one request at a time.
///
/// The connection that was used last is used first, so that the others can be closed early. One
/// that the server closed, or is about to close, is not used again. After a failure on a connection
/// that had rested, rested ones are not used for a while.
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

    /// \param done is called once, never from within this function.
    exchange_id exchange(const http_request &request, response_match match, time_point deadline,
                         connection_reuse reuse, http_connection::done_handler done);
    /// \brief Closes the connection of a pending exchange, which then ends as cancelled.
    void cancel(exchange_id id);
    /// \brief Ends exchanges that are past their deadline and closes idle connections.
    void sweep(time_point now);

    std::size_t idle() const { return m_idle.size(); }
    std::size_t busy() const { return m_busy.size(); }
    std::uint64_t opened() const { return m_opened; }

private:
    struct idle_connection
    {
        std::shared_ptr<http_connection> connection;
        time_point since;
        time_point until;
    };

    std::shared_ptr<http_connection> take(connection_reuse reuse, time_point now);
    void keep(const std::shared_ptr<http_connection> &connection,
              const std::optional<duration> &idleTime);

    boost::asio::io_context &m_loop;
    socket_address m_server;
    std::vector<idle_connection> m_idle; ///< Used last at the end.
    std::unordered_map<exchange_id, std::shared_ptr<http_connection>> m_busy;
    time_point m_distrustUntil; ///< Rested connections are not used before.
    exchange_id m_lastId = 0;
    std::uint64_t m_opened = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace tamarackridge
