#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \brief An HTTP/1.1 message with its body.
struct http_message
{
    std::string firstLine; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// \returns the value of the first header called \a name (case-insensitive), or an empty text.
    std::string header(std::string_view name) const;
    /// \returns the status of a response, or 0.
    int status() const;
    /// \returns the method and the target of a request.
    std::string method() const;
    std::string target() const;
};

/// \brief How the reading of a message ended.
enum class read_end : std::uint8_t {
    complete,
    closed, ///< The connection ended before the first byte.
    cut, ///< The connection ended within the message.
    timeout,
    malformed, ///< The bytes are no HTTP message.
};

/// \brief Address of a TCP endpoint on loopback.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
};

/// \brief A connected or listening socket; closes it at the end.
class socket_handle
{
public:
    explicit socket_handle(int handle = -1)
        : m_handle(handle)
    { }
    socket_handle(socket_handle &&other) noexcept
        : m_handle(std::exchange(other.m_handle, -1))
    { }
    socket_handle &operator=(socket_handle &&other) noexcept;
    socket_handle(const socket_handle &) = delete;
    socket_handle &operator=(const socket_handle &) = delete;
    ~socket_handle() { close(); }

    void close();
    int get() const { return m_handle; }
    bool valid() const { return m_handle >= 0; }

private:
    int m_handle;
};

/// \returns a listening socket; throws if the address is in use.
/// \param backlog number of connections that may wait for being accepted.
socket_handle listenOn(const endpoint &address, int backlog = 512);
/// \returns a connected socket; an invalid one if the connection fails or takes over a second.
/// \param receiveBuffer size of the kernel's buffer in bytes; 0 for the usual one.
socket_handle connectTo(const endpoint &address, int receiveBuffer = 0);

/// \brief Reads messages from one connection.
class message_reader
{
public:
    explicit message_reader(int handle)
        : m_handle(handle)
    { }

    /// \param isResponseWithoutBody set for the response to a HEAD request.
    /// \param bytesPerSecond how fast the body is read; 0 for no limit.
    read_end read(http_message &message, steady::time_point deadline,
                  bool isResponseWithoutBody = false, std::size_t bytesPerSecond = 0);
    /// \returns bytes that were received after the last message.
    const std::string &rest() const { return m_buffer; }
    /// \brief Receives more bytes into rest().
    read_end receive(steady::time_point deadline, std::size_t most = 65536);

private:
    read_end readHead(http_message &message, steady::time_point deadline);
    read_end readLength(std::size_t length, std::string &body, steady::time_point deadline,
                        std::size_t bytesPerSecond);
    read_end readChunks(std::string &body, steady::time_point deadline);

    int m_handle;
    std::string m_buffer;
};

/// \returns whether all bytes were sent before \a deadline.
bool sendAll(int handle, std::string_view bytes, steady::time_point deadline);

/// \returns the text of a message with a Content-Length.
std::string format(const http_message &message);

} // namespace review
