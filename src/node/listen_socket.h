#pragma once

#include <cstdint>
#include <string>

struct sockaddr;

namespace tamarackridge::internal {

/// \returns a listening TCP socket; throws std::runtime_error with the reason otherwise.
/// \param port 0 chooses a free port.
int openListenSocket(const std::string &address, std::uint16_t port);

/// \returns the port that \a socket is bound to.
std::uint16_t boundPort(int socket);

/// \brief Makes the system ignore all packets for a listening socket; connections that wait to be
/// accepted stay.
void dropNewConnections(int socket);

/// \returns whether a connection waits to be accepted.
bool hasWaitingConnection(int socket);

} // namespace tamarackridge::internal
