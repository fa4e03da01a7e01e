#pragma once

#include <cstdint>
#include <string>

struct sockaddr;

namespace tamarackridge::internal {

/// \brief Opens a TCP socket and listens on it; throws std::runtime_error if that fails.
/// \param address numeric IPv4 or IPv6 address.
/// \param port 0 chooses a free port.
int openListenSocket(const std::string &address, std::uint16_t port);

/// \returns the port that \a socket is bound to.
std::uint16_t boundPort(int socket);

/// \brief Makes the operating system drop all packets that arrive at a listening socket.
///
/// Connections that already wait to be accepted are kept.
void dropNewConnections(int socket);

/// \returns whether a connection is waiting to be accepted.
bool hasPendingConnection(int socket);

} // namespace tamarackridge::internal
