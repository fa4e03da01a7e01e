#pragma once

#include "server.h"

#include <memory>

namespace review {

/// \brief How a request of a kept_client ended.
struct attempt
{
    std::string id;
    bool sent = false;
    bool wasKept = false; ///< The connection had carried an answered request before.
    read_end end = read_end::closed;
    http_message answer;
    std::string unread; ///< What came instead of a message of the protocol.
};

/// \brief A client that keeps its connection to the sidecar of its machine for many requests.
class kept_client
{
public:
    kept_client(const machine &item, std::string name, record &log)
        : m_target(item.outbound())
        , m_name(std::move(name))
        , m_log(log)
    { }

    attempt request(const std::string &method, const std::string &path, const std::string &body,
                    const std::string &key = {})
    {
        attempt result;
        result.id = m_name + '-' + std::to_string(++m_count);
        if (!m_socket || !m_socket->isOpen())
            connect();
        result.wasKept = m_answered > 0;
        http_message message;
        message.startLine = method + ' ' + path + " HTTP/1.1";
        message.headers = {
                {"Host", "site.example"}, {"X-Request-Id", result.id}, {"X-Deadline-Ms", "3000"}};
        if (!key.empty())
            message.headers.emplace_back("X-Api-Key", key);
        if (!body.empty())
            message.headers.emplace_back("Content-Length", std::to_string(body.size()));
        message.body = body;
        result.sent = m_socket->isOpen() && m_socket->send(message.text());
        m_log.write("client sends " + result.id + ' ' + method + ' ' + std::to_string(body.size())
                    + " bytes" + (result.sent ? "" : ", not sent"));
        if (result.sent)
            result.end = m_reader->read(result.answer, "HTTP/1.", method != "HEAD");
        finish(result);
        return result;
    }

private:
    void connect()
    {
        m_reader.reset();
        m_socket = std::make_unique<tcp_socket>(tcp_socket::connectTo(m_target));
        m_reader = std::make_unique<http_reader>(*m_socket);
        m_answered = 0;
    }

    void finish(attempt &result)
    {
        if (result.end == read_end::complete) {
            ++m_answered;
            m_log.write("client gets " + std::to_string(result.answer.status()) + " for "
                        + result.id);
            if (strcasecmp(result.answer.header("Connection").c_str(), "close") != 0)
                return;
        } else if (result.end == read_end::not_http) {
            result.unread = m_reader->unread();
            m_log.write("client gets bytes that are no answer for " + result.id + ": "
                        + result.unread.substr(0, result.unread.find('\n')));
        } else if (result.sent) {
            m_log.write("client gets no answer for " + result.id + ", the connection is closed");
        }
        m_socket->close();
        m_answered = 0;
    }

    address m_target;
    std::string m_name;
    record &m_log;
    std::unique_ptr<tcp_socket> m_socket;
    std::unique_ptr<http_reader> m_reader;
    int m_count = 0;
    int m_answered = 0;
};

} // namespace review
