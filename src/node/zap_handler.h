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

/// \brief Answers ZeroMQ's authentication requests (ZAP, RFC 27): only the fleet's key may connect.
class zap_handler
{
public:
    /// \brief Binds the handler; must precede the sockets that it is to protect.
    zap_handler(zmq::context_t &context, const std::string &publicKey);
    zap_handler(const zap_handler &) = delete;
    zap_handler &operator=(const zap_handler &) = delete;
    ~zap_handler();

    /// \returns the socket to poll.
    zmq::socket_t &socket() { return *m_socket; }
    /// \brief Answers one waiting request.
    /// \returns whether the connection was allowed.
    bool respondToOne();

private:
    std::unique_ptr<zmq::socket_t> m_socket;
    std::array<std::uint8_t, 32> m_key{};
};

} // namespace tamarackridge
