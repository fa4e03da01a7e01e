#include "sidecar/event_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace tamarackridge {

std::optional<socket_address> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    socket_address address{std::string(text.substr(0, colon)), 0};
    const char *const end = text.data() + text.size();
    const auto [parsedEnd, result] = std::from_chars(text.data() + colon + 1, end, address.port);
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(address.host, error);
    if (result != std::errc() || parsedEnd != end || error || address.port == 0)
        return std::nullopt;
    return address;
}

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
