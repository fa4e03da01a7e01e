#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

/// \brief An IPv4 address and a port.
struct address
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
    sockaddr_in native() const
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &result.sin_addr);
        return result;
    }
};

/// \brief A TCP socket with blocking calls.
class tcp_socket
{
public:
    tcp_socket() = default;
    explicit tcp_socket(int handle)
        : m_handle(handle)
    { }
    tcp_socket(tcp_socket &&other) noexcept
        : m_handle(std::exchange(other.m_handle, -1))
    { }
    tcp_socket &operator=(tcp_socket &&other) noexcept
    {
        close();
        m_handle = std::exchange(other.m_handle, -1);
        return *this;
    }
    ~tcp_socket() { close(); }

    /// \param receiveBuffer size in bytes; 0 for the system's.
    static tcp_socket connectTo(const address &target, int receiveBuffer = 0)
    {
        tcp_socket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (receiveBuffer > 0)
            ::setsockopt(result.m_handle, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
                         sizeof receiveBuffer);
        const sockaddr_in native = target.native();
        const int connected = ::connect(result.m_handle,
                                        reinterpret_cast<const sockaddr *>(&native), sizeof native);
        if (connected != 0)
            result.close();
        else
            result.setNoDelay();
        return result;
    }

    bool isOpen() const { return m_handle >= 0; }
    int handle() const { return m_handle; }

    void close()
    {
        if (m_handle >= 0)
            ::close(std::exchange(m_handle, -1));
    }

    void setNoDelay() const
    {
        constexpr int enabled = 1;
        ::setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }

    /// \returns false if the connection broke.
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /// \brief Appends received bytes to \a out.
    /// \returns false at the end of the connection.
    bool receive(std::string &out, std::size_t chunkSize = 65536) const
    {
        std::string chunk(chunkSize, '\0');
        const ssize_t count = ::recv(m_handle, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return false;
        out.append(chunk, 0, static_cast<std::size_t>(count));
        return true;
    }

private:
    int m_handle = -1;
};

/// \brief Serves each accepted connection in a thread of its own, until the program ends.
inline void serveForever(const address &listenAddress,
                         const std::function<void(tcp_socket socket)> &serve)
{
    constexpr int backlog = 512;
    constexpr int enabled = 1;
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in native = listenAddress.native();
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0
        || ::listen(listener, backlog) != 0)
        throw std::runtime_error("cannot listen at " + listenAddress.text());
    std::thread([listener, serve] {
        while (true) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            tcp_socket socket(accepted);
            socket.setNoDelay();
            std::thread([serve, moved = std::move(socket)]() mutable {
                serve(std::move(moved));
            }).detach();
        }
    }).detach();
}

} // namespace review
