#include "sidecar/http_connection.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace tamarackridge {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t maxResponseBytes = std::uint64_t{16} * 1024 * 1024;
constexpr std::uint32_t maxHeaderBytes = 64 * 1024;
// Bounds what the parser's own limits do not cover: chunk extensions and trailers.
constexpr std::size_t maxBufferedBytes = std::size_t{128} * 1024;
constexpr std::size_t maxReadBytes = std::size_t{64} * 1024;
// The parser accepts any three digits. Below this, the status has no class (RFC 9110, section 15).
constexpr unsigned minStatus = 100;
// Interim responses and responses to other requests that one exchange skips.
constexpr std::size_t maxSkippedResponses = 16;

// Hop-by-hop headers and Content-Length: not forwarded, since the caller's response gets its own.
bool isConnectionHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 6> names{"connection",        "keep-alive",
                                                    "proxy-connection",  "upgrade",
                                                    "transfer-encoding", "content-length"};
    for (std::string_view other : names) {
        if (equalHeaderNames(name, other))
            return true;
    }
    return false;
}

/// \returns whether a header field continues on a second line.
/// \param bytes received bytes of a head, from the start of a line.
bool hasFoldedLine(std::string_view bytes)
{
    constexpr std::string_view lineEnd = "\r\n";
    if (bytes.starts_with(lineEnd))
        return false; // The head has ended.
    const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
    return head.find("\r\n ") != std::string_view::npos
           || head.find("\r\n\t") != std::string_view::npos;
}

/// \brief Sets the Content-Length as prepare_payload() does, which throws for a TRACE with a body.
void setLength(http::request<http::string_body> &message)
{
    const http::verb method = message.method();
    const bool bodyExpected = method == http::verb::options || method == http::verb::put
                              || method == http::verb::post;
    if (bodyExpected || !message.body().empty())
        message.content_length(message.body().size());
    else
        message.content_length(boost::none);
}

std::optional<duration> idleTimeoutOf(std::string_view keepAlive)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t position = keepAlive.find(name);
    if (position == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = keepAlive.substr(position + name.size());
    std::int64_t seconds = 0;
    const auto [end, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

class beast_connection final : public http_connection
{
public:
    beast_connection(boost::asio::io_context &loop, const socket_address &address,
                     growth_handler grown)
        : m_socket(loop)
        , m_endpoint(address.endpoint())
        , m_grown(std::move(grown))
    { }

    void exchange(const http_request &request, response_match match, time_point deadline,
                  done_handler done) override
    {
        m_match = std::move(match);
        m_deadline = deadline;
        m_done = std::move(done);
        m_requestWritten = false;
        m_writeError = {};
        m_skippedResponse = false;
        m_skippedCount = 0;
        m_sendStarted = false;
        m_brokenBy.clear();
        http::request<http::string_body> &message = m_request.emplace();
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        for (const http_header &header : request.headers)
            message.insert(header.name, header.value);
        message.body() = bodyView(request.body);
        setLength(message);
        if (m_socket.is_open())
            send();
        else
            connect();
    }

    void close(exchange_outcome end) override
    {
        error_code ignored;
        m_socket.close(ignored);
        setHeldBytes(0);
        if (m_done)
            finish(end);
    }

    void breakOff(std::string cause) override
    {
        m_brokenBy = std::move(cause);
        close(exchange_outcome::broken);
    }

    void watchIdle(std::function<void()> closed) override
    {
        m_idleClosed = std::move(closed);
        if (!m_watching)
            watch();
    }

    time_point deadline() const override { return m_done ? m_deadline : time_point::max(); }
    std::size_t heldBytes() const override { return m_heldBytes; }

private:
    std::shared_ptr<beast_connection> self()
    {
        return std::static_pointer_cast<beast_connection>(shared_from_this());
    }

    void connect()
    {
        m_socket.async_connect(m_endpoint, [this, keep = self()](const error_code &error) {
            if (!m_done)
                return;
            if (error) {
                error_code ignored;
                m_socket.close(ignored);
                finish(exchange_outcome::refused);
                return;
            }
            setKeepAlive(m_socket);
            send();
        });
    }

    void send()
    {
        m_sendStarted = true;
        m_idleClosed = nullptr;
        http::async_write(m_socket, *m_request,
                          [this, keep = self()](const error_code &error, std::size_t) {
                              // The outcome of the request is decided by the read, even if the
                              // write fails.
                              m_requestWritten = !error;
                              m_writeError = error;
                          });
        receive();
    }

    void receive()
    {
        m_parser.emplace();
        m_parser->body_limit(maxResponseBytes);
        m_parser->header_limit(maxHeaderBytes);
        if (m_request->method() == http::verb::head)
            m_parser->skip(true);
        if (m_buffer.size() > 0)
            partReceived({}); // A part of this response came with the one before it.
        else
            readSome();
    }

    void readSome()
    {
        const std::size_t size = boost::beast::read_size(m_buffer, maxReadBytes);
        if (size == 0) {
            breakOff("chunk extensions or trailers too long");
            return;
        }
        m_socket.async_read_some(m_buffer.prepare(size),
                                 [this, keep = self()](const error_code &error, std::size_t count) {
                                     m_buffer.commit(count);
                                     if (m_done)
                                         partReceived(error);
                                 });
    }

    /// \brief Parses the bytes in the buffer.
    void parse(error_code &error)
    {
        if (!m_parser->is_header_done())
            parseHead(error);
        const bool expectsBody = m_parser->is_header_done() && !m_parser->is_done();
        if (error || !expectsBody || m_buffer.size() == 0)
            return;
        m_parser->eager(true);
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    }

    void parseHead(error_code &error)
    {
        // The parser would join such a line with the one before it, although it may as well be a
        // field whose name begins with a blank. RFC 9112, section 5.2, allows to discard it.
        if (hasFoldedLine({static_cast<const char *>(m_buffer.data().data()), m_buffer.size()})) {
            error = http::error::bad_field;
            return;
        }
        // An eager parser goes on to the body of a response that exceeds the body limit, and
        // reserves memory for its whole length.
        m_parser->eager(false);
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    }

    void partReceived(error_code error)
    {
        if (!error)
            parse(error);
        else if (error == boost::asio::error::eof && m_parser->got_some())
            m_parser->put_eof(error);
        if (error && error != http::error::need_more) {
            breakOff(error.message());
            return;
        }
        if (m_parser->is_header_done() && m_parser->get().result_int() < minStatus) {
            breakOff("invalid status");
            return;
        }
        if (m_parser->is_done()) {
            if (m_parser->need_eof())
                awaitWriteError();
            else
                received();
            return;
        }
        // A response with a length reserves its memory when the head has arrived.
        setHeldBytes(m_parser->get().body().capacity());
        if (m_done) // The growth handler may have closed the connection.
            readSome();
    }

    /// \brief Decides whether the end of the stream completes a response without a length.
    ///
    /// The kernel reports a reset to one operation only. When that is the write, the read that
    /// follows gets the end of the stream, as after an orderly close. The handler of that write is
    /// queued by then, and runs before the one that is posted here.
    void awaitWriteError()
    {
        boost::asio::post(m_socket.get_executor(), [this, keep = self()] {
            if (!m_done)
                return;
            // The error of a write that is reset after an orderly close is a broken pipe.
            const bool closedOrderly =
                    !m_writeError || m_writeError == boost::asio::error::broken_pipe;
            if (closedOrderly)
                received();
            else
                breakOff(m_writeError.message());
        });
    }

    void setHeldBytes(std::size_t bytes)
    {
        const std::size_t before = std::exchange(m_heldBytes, bytes);
        if (bytes != before)
            m_grown(static_cast<std::int64_t>(bytes) - static_cast<std::int64_t>(before));
    }

    void received()
    {
        setHeldBytes(0);
        const http::response<http::string_body> &message = m_parser->get();
        const boost::beast::string_view id =
                m_match.header.empty() ? boost::beast::string_view() : message[m_match.header];
        const bool interim = message.result_int() < 200;
        const bool mismatched =
                !m_match.header.empty() && std::string_view(id.data(), id.size()) != m_match.value;
        if (interim || mismatched) {
            m_skippedResponse = m_skippedResponse || mismatched;
            const bool endless = ++m_skippedCount > maxSkippedResponses;
            if (endless || (!m_parser->keep_alive() && !interim))
                breakOff("no response to this request");
            else
                receive();
            return;
        }
        exchange_result result;
        result.end = exchange_outcome::completed;
        result.bytesSent = true;
        result.reusable = m_requestWritten && !m_skippedResponse && m_parser->keep_alive()
                          && m_buffer.size() == 0;
        const boost::beast::string_view keepAlive = message["Keep-Alive"];
        result.idleTimeout = idleTimeoutOf({keepAlive.data(), keepAlive.size()});
        http::response<http::string_body> releasedMessage = m_parser->release();
        result.response.status = static_cast<int>(releasedMessage.result_int());
        for (const auto &field : releasedMessage) {
            const std::string name(field.name_string());
            if (!isConnectionHeader(name))
                result.response.headers.push_back({name, std::string(field.value())});
        }
        result.response.body =
                std::make_shared<const std::string>(std::move(releasedMessage.body()));
        if (!result.reusable) {
            error_code ignored;
            m_socket.close(ignored);
        }
        std::exchange(m_done, nullptr)(std::move(result));
    }

    void finish(exchange_outcome end)
    {
        exchange_result result;
        result.end = end;
        result.bytesSent = m_sendStarted;
        result.brokenBy = std::move(m_brokenBy);
        // Posted, because callers of exchange() and close() do not expect the handler to run within
        // them.
        boost::asio::post(m_socket.get_executor(),
                          [done = std::exchange(m_done, nullptr), result, keep = self()]() mutable {
                              done(std::move(result));
                          });
    }

    void watch()
    {
        m_watching = true;
        m_socket.async_wait(tcp::socket::wait_read, [this, keep = self()](const error_code &) {
            m_watching = false;
            // While an exchange is pending, its read consumes the bytes.
            if (m_done || !m_idleClosed)
                return;
            error_code ignored;
            m_socket.close(ignored);
            std::exchange(m_idleClosed, nullptr)();
        });
    }

    tcp::socket m_socket;
    tcp::endpoint m_endpoint;
    growth_handler m_grown;
    boost::beast::flat_buffer m_buffer{maxBufferedBytes};
    std::optional<http::request<http::string_body>> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    response_match m_match;
    time_point m_deadline;
    done_handler m_done;
    std::function<void()> m_idleClosed;
    std::size_t m_heldBytes = 0;
    std::size_t m_skippedCount = 0;
    bool m_watching = false;
    bool m_requestWritten = false;
    error_code m_writeError;
    std::string m_brokenBy;
    bool m_skippedResponse = false; ///< A response to another request arrived first.
    bool m_sendStarted = false;
};

} // namespace

std::shared_ptr<http_connection> http_connection::create(boost::asio::io_context &loop,
                                                         const socket_address &address,
                                                         growth_handler grown)
{
    return std::make_shared<beast_connection>(loop, address, std::move(grown));
}

} // namespace tamarackridge
