#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace tamarackridge::fakes {

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// \brief One TCP connection with blocking reads and writes.
class raw_connection
{
public:
    explicit raw_connection(int socket)
        : m_socket(socket)
    { }
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;
    ~raw_connection() { close(); }

    /// \brief Connects to a port of the loopback address.
    static int connectTo(std::uint16_t port)
    {
        const sockaddr_in address = loopback(port);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            return -1;
        return socket;
    }

    void write(std::string_view text)
    {
        static_cast<void>(send(m_socket, text.data(), text.size(), MSG_NOSIGNAL));
    }
    /// \returns all bytes up to and including \a delimiter, or all bytes until the connection ends.
    std::string readUntil(std::string_view delimiter)
    {
        std::array<char, 4096> chunk{};
        std::size_t found = m_unread.find(delimiter);
        while (found == std::string::npos) {
            const ssize_t size = recv(m_socket, chunk.data(), chunk.size(), 0);
            if (size <= 0)
                return std::exchange(m_unread, {});
            m_unread.append(chunk.data(), static_cast<std::size_t>(size));
            found = m_unread.find(delimiter);
        }
        std::string taken = m_unread.substr(0, found + delimiter.size());
        m_unread.erase(0, found + delimiter.size());
        return taken;
    }
    std::string readAll() { return readUntil("\1the peer never sends this\1"); }
    /// \brief Reads and discards \a count bytes, or all bytes until the connection ends.
    void skip(std::size_t count)
    {
        const std::size_t alreadyRead = std::min(count, m_unread.size());
        m_unread.erase(0, alreadyRead);
        count -= alreadyRead;
        std::array<char, 4096> chunk{};
        while (count > 0) {
            const ssize_t size = recv(m_socket, chunk.data(), std::min(chunk.size(), count), 0);
            if (size <= 0)
                return;
            count -= static_cast<std::size_t>(size);
        }
    }
    /// \brief Waits until the kernel holds bytes that were not read, or the connection ends.
    void awaitUnreadBytes()
    {
        char byte = 0;
        static_cast<void>(recv(m_socket, &byte, sizeof byte, MSG_PEEK));
    }
    void closeSendingSide() { shutdown(m_socket, SHUT_WR); }
    /// \brief Closes the connection with a reset.
    void reset()
    {
        const linger discard{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close();
    }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
    std::string m_unread;
};

/// \brief TCP server that handles its n-th connection with the n-th script, one after another.
class raw_server
{
public:
    using script = std::function<void(raw_connection &connection)>;

    explicit raw_server(std::vector<script> scripts)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof address;
        bind(m_socket, reinterpret_cast<sockaddr *>(&address), length);
        listen(m_socket, 16);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, scripts = std::move(scripts)] {
            for (const script &handle : scripts) {
                const int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    return;
                ++m_connections;
                raw_connection connection(socket);
                handle(connection);
            }
        });
    }
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;
    ~raw_server()
    {
        stopListening(); // Unblocks a pending accept().
        m_thread.join();
        ::close(m_socket);
    }

    /// \brief Refuses new connections from now on.
    void stopListening() { shutdown(m_socket, SHUT_RDWR); }
    std::uint16_t port() const { return m_port; }
    int connections() const { return m_connections; }

private:
    int m_socket;
    std::uint16_t m_port = 0;
    std::atomic<int> m_connections = 0;
    std::thread m_thread;
};

} // namespace tamarackridge::fakes
