#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <strings.h>
#include <thread>

namespace review {
namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t maxHeadBytes = 65536;

sockaddr_in addressOf(const endpoint &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &result.sin_addr) != 1
        || (ntohl(result.sin_addr.s_addr) >> 24U) != 127U)
        throw std::runtime_error("no loopback address: " + address.host);
    return result;
}

bool waitFor(int handle, short events, steady::time_point deadline)
{
    const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count() + 1;
    if (left <= 0)
        return false;
    pollfd item{handle, events, 0};
    return poll(&item, 1, static_cast<int>(std::min<std::int64_t>(left, 3'600'000))) > 0;
}

std::optional<std::size_t> parseSize(std::string_view text, int base)
{
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc() || end == text.data())
        return std::nullopt;
    return value;
}

} // namespace

socket_handle &socket_handle::operator=(socket_handle &&other) noexcept
{
    if (this != &other) {
        close();
        m_handle = std::exchange(other.m_handle, -1);
    }
    return *this;
}

void socket_handle::close()
{
    if (m_handle >= 0)
        ::close(m_handle);
    m_handle = -1;
}

std::string http_message::header(std::string_view name) const
{
    for (const auto &[known, value] : headers) {
        if (known.size() == name.size() && strncasecmp(known.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

int http_message::status() const
{
    constexpr std::size_t statusAt = 9;
    if (!firstLine.starts_with("HTTP/1.") || firstLine.size() < statusAt + 3)
        return 0;
    return static_cast<int>(
            parseSize(std::string_view(firstLine).substr(statusAt, 3), 10).value_or(0));
}

std::string http_message::method() const
{
    return firstLine.substr(0, firstLine.find(' '));
}

std::string http_message::target() const
{
    const std::size_t begin = firstLine.find(' ');
    if (begin == std::string::npos)
        return {};
    return firstLine.substr(begin + 1, firstLine.find(' ', begin + 1) - begin - 1);
}

socket_handle listenOn(const endpoint &address, int backlog)
{
    socket_handle handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    setsockopt(handle.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in name = addressOf(address);
    if (bind(handle.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0
        || listen(handle.get(), backlog) != 0)
        throw std::runtime_error("cannot listen on " + address.text());
    return handle;
}

socket_handle connectTo(const endpoint &address, int receiveBuffer)
{
    socket_handle handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int enabled = 1;
    setsockopt(handle.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (receiveBuffer > 0)
        setsockopt(handle.get(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in name = addressOf(address);
    if (connect(handle.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0)
        return handle;
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS
        || !waitFor(handle.get(), POLLOUT, steady::now() + std::chrono::seconds(1))
        || getsockopt(handle.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return socket_handle();
    return handle;
}

read_end message_reader::receive(steady::time_point deadline, std::size_t most)
{
    std::array<char, 65536> chunk{};
    while (true) {
        const ssize_t count =
                recv(m_handle, chunk.data(), std::min(most, chunk.size()), MSG_DONTWAIT);
        if (count > 0) {
            m_buffer.append(chunk.data(), static_cast<std::size_t>(count));
            return read_end::complete;
        }
        if (count == 0)
            return read_end::closed;
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
            return read_end::closed;
        if (!waitFor(m_handle, POLLIN, deadline) && steady::now() >= deadline)
            return read_end::timeout;
    }
}

read_end message_reader::readHead(http_message &message, steady::time_point deadline)
{
    while (m_buffer.find(headEnd) == std::string::npos) {
        const bool isEmpty = m_buffer.empty();
        if (m_buffer.size() > maxHeadBytes)
            return read_end::malformed;
        const read_end end = receive(deadline);
        if (end == read_end::closed)
            return isEmpty ? read_end::closed : read_end::cut;
        if (end != read_end::complete)
            return end;
    }
    const std::size_t size = m_buffer.find(headEnd);
    std::string_view head = std::string_view(m_buffer).substr(0, size);
    message = {};
    message.firstLine = std::string(head.substr(0, head.find(lineEnd)));
    head.remove_prefix(std::min(head.size(), message.firstLine.size() + lineEnd.size()));
    while (!head.empty()) {
        const std::string_view line = head.substr(0, head.find(lineEnd));
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            return read_end::malformed;
        std::string_view value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        message.headers.emplace_back(line.substr(0, colon), value);
        head.remove_prefix(std::min(head.size(), line.size() + lineEnd.size()));
    }
    m_buffer.erase(0, size + headEnd.size());
    return read_end::complete;
}

read_end message_reader::readLength(std::size_t length, std::string &body,
                                    steady::time_point deadline, std::size_t bytesPerSecond)
{
    constexpr std::size_t stepsPerSecond = 10;
    while (body.size() < length) {
        if (steady::now() >= deadline)
            return read_end::timeout;
        if (m_buffer.empty()) {
            if (bytesPerSecond > 0)
                std::this_thread::sleep_for(milliseconds(1000 / stepsPerSecond));
            const std::size_t most =
                    bytesPerSecond > 0 ? std::max<std::size_t>(bytesPerSecond / stepsPerSecond, 1)
                                       : 65536;
            const read_end end = receive(deadline, most);
            if (end != read_end::complete)
                return end == read_end::closed ? read_end::cut : end;
        }
        const std::size_t taken = std::min(length - body.size(), m_buffer.size());
        body.append(m_buffer, 0, taken);
        m_buffer.erase(0, taken);
    }
    return read_end::complete;
}

read_end message_reader::readChunks(std::string &body, steady::time_point deadline)
{
    while (true) {
        while (m_buffer.find(lineEnd) == std::string::npos) {
            const read_end end = receive(deadline);
            if (end != read_end::complete)
                return end == read_end::closed ? read_end::cut : end;
        }
        const std::size_t line = m_buffer.find(lineEnd);
        const std::optional<std::size_t> size = parseSize(m_buffer.substr(0, line), 16);
        if (!size)
            return read_end::malformed;
        m_buffer.erase(0, line + lineEnd.size());
        std::string chunk;
        const read_end end = readLength(*size + lineEnd.size(), chunk, deadline, 0);
        if (end != read_end::complete)
            return end;
        if (*size == 0)
            return read_end::complete;
        body.append(chunk, 0, *size);
    }
}

read_end message_reader::read(http_message &message, steady::time_point deadline,
                              bool isResponseWithoutBody, std::size_t bytesPerSecond)
{
    const read_end head = readHead(message, deadline);
    if (head != read_end::complete)
        return head;
    if (isResponseWithoutBody)
        return read_end::complete;
    if (message.header("transfer-encoding") == "chunked")
        return readChunks(message.body, deadline);
    const std::string length = message.header("content-length");
    if (length.empty())
        return read_end::complete;
    const std::optional<std::size_t> size = parseSize(length, 10);
    if (!size)
        return read_end::malformed;
    return readLength(*size, message.body, deadline, bytesPerSecond);
}

bool sendAll(int handle, std::string_view bytes, steady::time_point deadline)
{
    while (!bytes.empty()) {
        const ssize_t count = send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
            return false;
        if (!waitFor(handle, POLLOUT, deadline) && steady::now() >= deadline)
            return false;
    }
    return true;
}

std::string format(const http_message &message)
{
    std::string text = message.firstLine + std::string(lineEnd);
    for (const auto &[name, value] : message.headers)
        text.append(name).append(": ").append(value).append(lineEnd);
    text += "Content-Length: " + std::to_string(message.body.size()) + std::string(headEnd);
    return text + message.body;
}

} // namespace review
