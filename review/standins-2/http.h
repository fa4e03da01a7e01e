#pragma once

#include "socket.h"

#include <strings.h>

#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// \brief A request or a response of HTTP/1.1.
struct http_message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    /// \returns word \a index of the start line.
    std::string word(std::size_t index) const
    {
        std::size_t begin = 0;
        for (; index > 0; --index) {
            begin = startLine.find(' ', begin);
            if (begin == std::string::npos)
                return {};
            ++begin;
        }
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(word(1).c_str()); }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }

    std::string text() const
    {
        std::string result = startLine + "\r\n";
        for (const auto &[name, value] : headers)
            result.append(name).append(": ").append(value).append("\r\n");
        return result.append("\r\n").append(body);
    }
};

/// \brief How the read of a message ended.
enum class read_end {
    complete,
    closed, ///< The connection ended before the first byte of the message.
    cut, ///< The connection ended within the message.
    not_http, ///< The bytes that came are no message of the protocol.
};

/// \brief Reads messages with a Content-Length from a connection.
class http_reader
{
public:
    explicit http_reader(const tcp_socket &socket)
        : m_socket(socket)
    { }

    /// \param startsWith what every start line begins with; empty for requests.
    read_end read(http_message &out, std::string_view startsWith, bool hasBody = true)
    {
        constexpr std::string_view headEnd = "\r\n\r\n";
        while (true) {
            const std::string_view start = std::string_view(m_input).substr(0, startsWith.size());
            if (start != startsWith.substr(0, start.size()))
                return read_end::not_http;
            if (m_input.find(headEnd) != std::string::npos)
                break;
            if (!m_socket.receive(m_input))
                return m_input.empty() ? read_end::closed : read_end::cut;
        }
        const std::size_t headSize = m_input.find(headEnd) + headEnd.size();
        out = parseHead(m_input.substr(0, headSize));
        m_input.erase(0, headSize);
        const std::size_t length = std::strtoull(out.header("Content-Length").c_str(), nullptr, 10);
        if (!hasBody || length == 0)
            return read_end::complete;
        while (m_input.size() < length) {
            if (!m_socket.receive(m_input))
                return read_end::cut;
        }
        out.body = m_input.substr(0, length);
        m_input.erase(0, length);
        return read_end::complete;
    }

    const std::string &unread() const { return m_input; }

private:
    static http_message parseHead(std::string_view text)
    {
        http_message result;
        std::size_t end = text.find("\r\n");
        result.startLine = text.substr(0, end);
        for (text.remove_prefix(end + 2); !text.starts_with("\r\n"); text.remove_prefix(end + 2)) {
            end = text.find("\r\n");
            const std::string_view line = text.substr(0, end);
            const std::size_t colon = line.find(':');
            if (colon == std::string_view::npos)
                continue;
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            result.headers.emplace_back(line.substr(0, colon), value == std::string_view::npos
                                                                       ? std::string_view()
                                                                       : line.substr(value));
        }
        return result;
    }

    const tcp_socket &m_socket;
    std::string m_input;
};

inline http_message response(int status, std::string body)
{
    http_message result;
    result.startLine = "HTTP/1.1 " + std::to_string(status) + " Status";
    result.headers.emplace_back("Content-Length", std::to_string(body.size()));
    result.body = std::move(body);
    return result;
}

/// \brief Sends one request on a new connection.
/// \returns the response; nothing if the connection broke.
inline std::optional<http_message> callOnce(const address &target, const http_message &request)
{
    const tcp_socket socket = tcp_socket::connectTo(target);
    http_message result;
    if (!socket.isOpen() || !socket.send(request.text()))
        return std::nullopt;
    if (http_reader(socket).read(result, "HTTP/1.") != read_end::complete)
        return std::nullopt;
    return result;
}

} // namespace review
