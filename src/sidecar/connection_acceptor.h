#pragma once

#include "sidecar/event_loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace tamarackridge {

/// \brief Listens on one address and passes each accepted connection to a callback.
class connection_acceptor
{
public:
    using accepted_callback = std::function<void(tcp::socket socket)>;

    /// \param backlog maximum number of connections waiting to be accepted.
    connection_acceptor(boost::asio::io_context &loop, const socket_address &address, int backlog,
                        accepted_callback accepted);

private:
    void accept();
    void acceptLater();

    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    accepted_callback m_accepted;
};

} // namespace tamarackridge
