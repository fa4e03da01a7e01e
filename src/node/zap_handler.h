#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace zmq {
class context_t;
class socket_t;
} // namespace zmq

#include <memory>

namespace tamarackridge {

/// \brief Responds to ZeroMQ's authentication requests (ZAP, RFC 27): allows only connections that
/// use the fleet's key.
class zap_handler
{
public:
    /// \brief Binds the handler; must be called before the sockets that it protects are created.
    zap_handler(zmq::context_t &context, const std::string &publicKey);
    zap_handler(const zap_handler &) = delete;
    zap_handler &operator=(const zap_handler &) = delete;
    ~zap_handler();

    /// \returns the socket to poll.
    zmq::socket_t &socket() { return *m_socket; }
    /// \brief Responds to one waiting request, if there is one.
    /// \returns whether the connection was allowed.
    bool respondToOne();

private:
    std::unique_ptr<zmq::socket_t> m_socket;
    std::array<std::uint8_t, 32> m_key{};
};

} // namespace tamarackridge
