#include "node/listen_socket.h"

#include "node/caller_server.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <stdexcept>
#include <system_error>

namespace tamarackridge {

std::string addressText(const sockaddr *address)
{
    if (address == nullptr)
        return {};
    std::array<char, INET6_ADDRSTRLEN> text{};
    const void *const bytes =
            address->sa_family == AF_INET
                    ? static_cast<const void *>(
                            &reinterpret_cast<const sockaddr_in *>(address)->sin_addr)
                    : &reinterpret_cast<const sockaddr_in6 *>(address)->sin6_addr;
    return inet_ntop(address->sa_family, bytes, text.data(), text.size()) == nullptr ? ""
                                                                                     : text.data();
}

namespace internal {
namespace {

struct address_deleter
{
    void operator()(addrinfo *info) const { freeaddrinfo(info); }
};

[[noreturn]] void throwListenError(const std::string &address, std::uint16_t port)
{
    throw std::runtime_error("cannot listen on " + address + ':' + std::to_string(port) + ": "
                             + std::generic_category().message(errno));
}

} // namespace

int openListenSocket(const std::string &address, std::uint16_t port)
{
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo *found = nullptr;
    if (getaddrinfo(address.c_str(), std::to_string(port).c_str(), &hints, &found) != 0)
        throw std::runtime_error("not a numeric address: " + address);
    const std::unique_ptr<addrinfo, address_deleter> owner(found);
    const int socket = ::socket(found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        throwListenError(address, port);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(socket, found->ai_addr, found->ai_addrlen) != 0 || listen(socket, SOMAXCONN) != 0) {
        const int reason = errno;
        close(socket);
        errno = reason;
        throwListenError(address, port);
    }
    return socket;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_storage bound{};
    socklen_t length = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.ss_family == AF_INET
                         ? reinterpret_cast<const sockaddr_in &>(bound).sin_port
                         : reinterpret_cast<const sockaddr_in6 &>(bound).sin6_port);
}

void dropNewConnections(int socket)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

bool hasPendingConnection(int socket)
{
    pollfd watched{socket, POLLIN, 0};
    return poll(&watched, 1, 0) > 0;
}

} // namespace internal
} // namespace tamarackridge
