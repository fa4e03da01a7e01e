#include "sidecar/event_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarackridge {

void setKeepAlive(tcp::socket &socket)
{
    // After one second without data, two keep-alive probes are sent, one second apart.
    constexpr int enabled = 1;
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int probes = 2;
    constexpr unsigned unacknowledgedMilliseconds = 3000;
    const int handle = socket.native_handle();
    // Failures are ignored: without one of the options, the time-outs of HTTP and the peer links
    // still detect a dead connection.
    static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled));
    static_cast<void>(setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled));
    static_cast<void>(
            setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds));
    static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds,
                                 sizeof intervalSeconds));
    static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes));
    static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds,
                                 sizeof unacknowledgedMilliseconds));
}

} // namespace tamarackridge
