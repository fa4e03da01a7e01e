#include "sidecar/connection_probe.h"

#include "process/monotonic_time.h"

#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

// Bounds the connections that a server gets which breaks many of them.
constexpr duration minInterval = std::chrono::milliseconds(100);
constexpr duration timeout = std::chrono::seconds(1);

} // namespace

void connection_probe::request()
{
    m_requested = true;
    sweep(monotonicNow());
}

void connection_probe::sweep(time_point now)
{
    if (m_socket && now - m_begin >= timeout) {
        boost::system::error_code ignored;
        m_socket->close(ignored);
        m_socket.reset();
    }
    if (m_requested && !m_socket && now - m_begin >= minInterval)
        connect(now);
}

void connection_probe::connect(time_point now)
{
    m_requested = false;
    m_begin = now;
    m_socket = std::make_shared<tcp::socket>(m_loop);
    m_socket->async_connect(m_server.endpoint(), [this, socket = m_socket, alive = m_alive](
                                                         const boost::system::error_code &error) {
        if (*alive && socket == m_socket)
            ended(error);
    });
}

void connection_probe::ended(const boost::system::error_code &error)
{
    m_socket.reset();
    // A server that has too many connections resets further ones, which is no refusal.
    if (error != boost::asio::error::connection_refused)
        return;
    // Whatever has been requested meanwhile has the same answer.
    m_requested = false;
    m_refused();
}

} // namespace tamarackridge
