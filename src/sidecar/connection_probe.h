#pragma once

#include "sidecar/event_loop.h"
#include "tamarackridge/src/base/time.h"

#include <functional>
#include <memory>

namespace tamarackridge {

/// \brief Opens connections to a server to find out whether it refuses them.
///
/// \code
/// connection_probe probe(loop, server);
/// probe.onRefused([] { std::cout << "the server is down"; });
/// probe.request();
/// \endcode
class connection_probe
{
public:
    connection_probe(boost::asio::io_context &loop, const socket_address &server)
        : m_loop(loop)
        , m_server(server)
    { }
    connection_probe(const connection_probe &) = delete;
    connection_probe &operator=(const connection_probe &) = delete;
    ~connection_probe() { *m_alive = false; }

    void onRefused(std::function<void()> handler) { m_refused = std::move(handler); }
    /// \brief Opens a connection now, or soon if one has just been opened.
    void request();
    /// \brief Opens requested connections and gives up those that take too long; must be called a
    /// few times a second.
    void sweep(time_point now);

private:
    void connect(time_point now);
    void ended(const boost::system::error_code &error);

    boost::asio::io_context &m_loop;
    socket_address m_server;
    std::function<void()> m_refused = [] {};
    std::shared_ptr<tcp::socket> m_socket; ///< While a connection is being opened.
    time_point m_begin; ///< Of the latest connection.
    bool m_requested = false;
    /// Shared with pending handlers; false once the probe is destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace tamarackridge
