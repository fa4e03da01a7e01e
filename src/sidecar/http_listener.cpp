#include "sidecar/http_listener.h"

#include "core/sidecar/caller_response.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarackridge {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Bytes of the next requests that are read while the current one is being processed.
constexpr std::size_t maxReadAhead = std::size_t{64} * 1024;
constexpr std::size_t readAheadStep = std::size_t{4} * 1024;
// Bounds what the parser's own limits do not cover: chunk extensions and trailers.
constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;
// Time limit for writing a response: one that the caller does not read stays in memory.
constexpr duration responseTimeout = std::chrono::seconds(15);
// After the last response, the caller gets this time to close first: closing with unread bytes
// would reset the connection and could discard the response.
constexpr duration lingerPeriod = std::chrono::seconds(1);
constexpr int backlog = 1024;
// Reserved for the announced length of a body; a longer one grows as it arrives.
constexpr std::uint64_t maxReservedBytes = std::uint64_t{64} * 1024 * 1024;

/// \brief Body that does not reserve whatever length a caller announces.
struct bounded_reserve_body : http::string_body
{
    class reader : public http::string_body::reader
    {
    public:
        using http::string_body::reader::reader;

        void init(const boost::optional<std::uint64_t> &length, error_code &error)
        {
            boost::optional<std::uint64_t> reserved = length;
            if (reserved)
                reserved = std::min(*reserved, maxReservedBytes);
            http::string_body::reader::init(reserved, error);
        }
    };
};

using request_message = http::request<bounded_reserve_body>;

/// \brief Parser that refuses the fields that a message cannot store, which throws for them.
class request_parser final : public http::request_parser<bounded_reserve_body>
{
    void on_field_impl(http::field name, boost::beast::string_view nameText,
                       boost::beast::string_view value, error_code &error) override
    {
        // The lengths are kept in 16 bits, with the two characters that follow a name or value.
        constexpr std::size_t maxLength = std::numeric_limits<std::uint16_t>::max() - 2;
        if (nameText.size() > maxLength || value.size() > maxLength)
            error = http::error::header_limit;
        else
            get().insert(name, nameText, value);
    }
};

http_request convert(request_message &received)
{
    http_request request;
    request.method = std::string(received.method_string());
    request.target = std::string(received.target());
    for (const auto &field : received)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    if (!received.body().empty())
        request.body = std::make_shared<const std::string>(std::move(received.body()));
    return request;
}

/// \returns true when two HTTP implementations could disagree on the request's length or host.
bool isAmbiguous(const request_message &request, bool chunked)
{
    const bool otherCoding = request.count(http::field::transfer_encoding) > 0 && !chunked;
    return otherCoding || request.count(http::field::host) != 1;
}

std::optional<error_kind> errorOf(const error_code &error)
{
    if (error == http::error::header_limit)
        return error_kind::headers_too_large;
    if (error == http::error::body_limit)
        return error_kind::request_too_large;
    if (error == http::error::end_of_stream || error == http::error::partial_message)
        return std::nullopt;
    if (error.category() == http::make_error_code(http::error::bad_method).category())
        return error_kind::bad_request;
    return std::nullopt;
}

} // namespace

class http_listener::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(http_listener &listener, tcp::socket socket)
        : m_listener(listener)
        , m_socket(std::move(socket))
    { }

    void start()
    {
        error_code ignored;
        m_socket.non_blocking(true, ignored);
        m_socket.set_option(tcp::no_delay(true), ignored);
        awaitRequest();
    }

    void respond(const http_response &response)
    {
        m_phase = phase::writing;
        m_call = 0;
        m_keepAlive = m_keepAlive && !m_listener.m_callbacks.leaving();
        http::response<http::string_body> &message = m_message.emplace();
        message.version(11);
        message.result(static_cast<unsigned>(response.status));
        for (const http_header &header : response.headers)
            message.insert(header.name, header.value);
        message.body() = bodyView(response.body);
        message.prepare_payload();
        message.keep_alive(m_keepAlive);
        m_deadline = monotonicNow() + responseTimeout;
        http::async_write(m_socket, message,
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              self->written(error);
                          });
    }

    void sweep(time_point now)
    {
        if (now < m_deadline)
            return;
        if (m_phase != phase::reading) {
            close();
            return;
        }
        m_deadline = time_point::max();
        m_timedOut = true;
        error_code ignored;
        m_socket.cancel(ignored);
    }

    void close()
    {
        if (m_phase == phase::closed)
            return;
        m_phase = phase::closed;
        error_code ignored;
        m_socket.close(ignored);
        if (m_call != 0) {
            m_listener.m_connectionsByCall.erase(m_call);
            m_listener.m_callbacks.callerDisconnected(m_call);
        }
        m_listener.m_connections.erase(shared_from_this());
    }

    bool busy() const
    {
        return m_phase == phase::reading || m_phase == phase::processing
               || m_phase == phase::writing;
    }

    /// \brief Closes the connection without using the listener, which is being destroyed.
    void detach()
    {
        m_phase = phase::closed;
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    enum class phase : std::uint8_t { idle, reading, processing, writing, lingering, closed };

    void awaitRequest()
    {
        m_phase = phase::idle;
        m_deadline = monotonicNow() + m_listener.m_callbacks.limits().idleTimeout;
        if (m_buffer.size() > 0)
            read();
        else
            watch();
    }

    /// \returns whether the caller has to read responses before more of its requests are read.
    bool isReadAheadFull() const { return m_buffer.size() >= maxReadAhead; }

    // At most one wait is pending; readable() handles it by the phase in which it completes.
    void watch()
    {
        if (m_watching || isReadAheadFull())
            return;
        m_watching = true;
        m_socket.async_wait(tcp::socket::wait_read,
                            [self = shared_from_this()](const error_code &error) {
                                self->m_watching = false;
                                if (!error)
                                    self->readable();
                            });
    }

    void readable()
    {
        switch (m_phase) {
        case phase::idle:
            read();
            break;
        case phase::processing:
        case phase::writing:
        case phase::lingering:
            readAhead();
            break;
        case phase::reading:
        case phase::closed:
            break;
        }
    }

    void readAhead()
    {
        if (isReadAheadFull())
            return;
        error_code error;
        const std::size_t count = m_socket.read_some(m_buffer.prepare(readAheadStep), error);
        if (error && error != boost::asio::error::would_block) {
            close();
            return;
        }
        // No further request is served on a lingering connection, so its bytes are dropped.
        if (!error && m_phase != phase::lingering)
            m_buffer.commit(count);
        watch();
    }

    void read()
    {
        const caller_limits &limits = m_listener.m_callbacks.limits();
        m_phase = phase::reading;
        m_deadline = monotonicNow() + limits.headerTimeout;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        m_parser->body_limit(limits.maxBodyBytes);
        m_buffer.max_size(maxBufferedBytes + limits.maxHeaderBytes);
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](const error_code &error, std::size_t) {
                             self->received(error);
                         });
    }

    void received(const error_code &error)
    {
        if (m_phase == phase::closed)
            return;
        if (error) {
            const std::optional<error_kind> kind =
                    m_timedOut ? error_kind::body_incomplete : errorOf(error);
            if (kind)
                refuse(*kind);
            else
                close();
            return;
        }
        m_keepAlive = m_parser->keep_alive();
        const bool chunked = m_parser->chunked();
        request_message message = m_parser->release();
        m_parser.reset();
        if (isAmbiguous(message, chunked)) {
            refuse(error_kind::bad_request);
            return;
        }
        m_phase = phase::processing;
        m_deadline = time_point::max();
        m_call = ++m_listener.m_lastCall;
        m_listener.m_connectionsByCall.emplace(m_call, shared_from_this());
        watch();
        m_listener.m_callbacks.request(m_call, convert(message));
    }

    void refuse(error_kind kind)
    {
        m_keepAlive = false;
        m_buffer.clear(); // No further request of this connection is served.
        respond(internal::refusal(kind, run_state::not_run));
    }

    void written(const error_code &error)
    {
        if (m_phase == phase::closed)
            return;
        m_message.reset();
        if (error) {
            close();
        } else if (m_keepAlive) {
            awaitRequest();
        } else {
            m_phase = phase::lingering;
            m_buffer.clear(); // Bytes that arrive are read and dropped.
            m_deadline = monotonicNow() + lingerPeriod;
            error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            watch();
        }
    }

    http_listener &m_listener;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::optional<http::response<http::string_body>> m_message;
    time_point m_deadline = time_point::max();
    call_id m_call = 0;
    phase m_phase = phase::idle;
    bool m_watching = false;
    bool m_keepAlive = true;
    bool m_timedOut = false;
};

http_listener::http_listener(boost::asio::io_context &loop, const socket_address &address,
                             listener_callbacks callbacks, call_id &lastCall)
    : m_callbacks(std::move(callbacks))
    , m_lastCall(lastCall)
    , m_acceptor(loop, address, backlog, [this](tcp::socket socket) {
        const std::shared_ptr<connection> item =
                std::make_shared<connection>(*this, std::move(socket));
        m_connections.insert(item);
        item->start();
    })
{ }

http_listener::~http_listener()
{
    for (const std::shared_ptr<connection> &item : m_connections)
        item->detach();
}

void http_listener::respond(call_id call, const http_response &response)
{
    const auto found = m_connectionsByCall.find(call);
    if (found == m_connectionsByCall.end())
        return;
    const std::shared_ptr<connection> item = found->second;
    m_connectionsByCall.erase(found);
    item->respond(response);
}

bool http_listener::busy() const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const std::shared_ptr<connection> &item) { return item->busy(); });
}

void http_listener::sweep(time_point now)
{
    const std::vector<std::shared_ptr<connection>> openConnections(m_connections.begin(),
                                                                   m_connections.end());
    for (const std::shared_ptr<connection> &item : openConnections)
        item->sweep(now);
}

} // namespace tamarackridge
