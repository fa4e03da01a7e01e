#include "fakes/raw_server.h"
#include "process/http_client.h"

#include <gtest/gtest.h>

#include <future>
#include <optional>

namespace tamarackridge {
namespace {

using fakes::raw_connection;
using fakes::raw_server;
using std::chrono::milliseconds;

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Runs one client on the thread of the test.
class client_driver
{
public:
    explicit client_driver(http_client_options options = {})
        : m_client(options, [this](std::uint64_t id, http_outcome outcome) {
            m_lastId = id;
            m_outcome = std::move(outcome);
        })
    { }

    http_client &client() { return m_client; }
    void submit(std::uint16_t port, const http_request &request,
                milliseconds timeout = milliseconds(5000))
    {
        m_client.submit(++m_lastId, {"127.0.0.1", port}, request, timeout);
    }
    http_outcome await()
    {
        while (!m_outcome)
            m_client.runOnce(milliseconds(100));
        return *std::exchange(m_outcome, std::nullopt);
    }
    http_outcome exchange(std::uint16_t port, const http_request &request,
                          milliseconds timeout = milliseconds(5000))
    {
        submit(port, request, timeout);
        return await();
    }

private:
    std::uint64_t m_lastId = 0;
    std::optional<http_outcome> m_outcome;
    http_client m_client;
};

http_request post(const std::string &text)
{
    return {"POST", "/invoices", {}, std::make_shared<const std::string>(text)};
}

const http_request get{"GET",
                       "/a/../b?q=%20",
                       {{"X-Empty", ""}, {"Connection", "X-Hop"}, {"X-Hop", "1"}},
                       nullptr};

// Reads one request, sends a fixed text and closes the connection.
raw_server::script replyWith(std::string text)
{
    return [text = std::move(text)](raw_connection &connection) {
        connection.readUntil(headEnd);
        connection.write(text);
    };
}

// Guards against a rewritten request target, dropped headers and forwarded hop-by-hop headers.
TEST(process_http_client, sends_the_request_unchanged)
{
    std::promise<std::string> seen;
    raw_server server({[&](raw_connection &connection) {
        seen.set_value(connection.readUntil(headEnd));
        connection.write(okResponse);
    }});
    const http_outcome outcome = client_driver().exchange(server.port(), get);
    ASSERT_TRUE(outcome.response.has_value());
    EXPECT_EQ(bodyView(outcome.response->body), "ok");
    const std::string text = seen.get_future().get();
    EXPECT_TRUE(text.starts_with("GET /a/../b?q=%20 HTTP/1.1\r\n")) << text;
    EXPECT_NE(text.find("X-Empty:"), std::string::npos) << text;
    EXPECT_EQ(text.find("X-Hop"), std::string::npos) << text;
}

// Guards against an invoice posted twice: libcurl resends a request on its own when a reused
// connection is closed before the response.
TEST(process_http_client, dead_reused_connection_does_not_resend_a_post)
{
    std::atomic<int> requests = 0;
    const raw_server::script script = [&](raw_connection &connection) {
        // The second request on the connection gets no response.
        for (int i = 0; i < 2; ++i) {
            if (connection.readUntil("text").empty())
                return;
            if (++requests == 1)
                connection.write(okResponse);
        }
    };
    raw_server server({script, script});
    client_driver driver;
    EXPECT_TRUE(driver.exchange(server.port(), post("text")).response.has_value());
    const http_outcome outcome = driver.exchange(server.port(), post("text"));
    EXPECT_TRUE(outcome.bytesSent);
    EXPECT_TRUE(outcome.connectionBroken);
    EXPECT_EQ(outcome.response.error(), error_kind::backend_failed);
    EXPECT_EQ(requests, 2);
}

// Guards against opening a new connection for each request, and against `bytesSent` being set
// without a request.
TEST(process_http_client, connections_are_reused)
{
    raw_server server({[](raw_connection &connection) {
        for (int i = 0; i < 3; ++i) {
            connection.readUntil(headEnd);
            connection.write(okResponse);
        }
    }});
    client_driver driver;
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(driver.exchange(server.port(), get).response.has_value());
    EXPECT_EQ(server.connections(), 1);
}

// Guards against a caller that gets another request's response: the server sends a second copy
// late, when the connection is in use again.
TEST(process_http_client, a_late_copy_of_an_earlier_response_is_not_taken)
{
    const auto responseTo = [](const std::string &trace, const std::string &body) {
        return "HTTP/1.1 200 OK\r\ntraceparent: " + trace
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    raw_server server({[&](raw_connection &connection) {
        connection.readUntil(headEnd);
        connection.write(responseTo("t-1", "one"));
        connection.readUntil(headEnd);
        connection.write(responseTo("t-1", "one") + responseTo("t-2", "two"));
        connection.readAll();
    }});
    client_driver driver;
    http_request request = get;
    request.headers = {{"traceparent", "t-1"}};
    ASSERT_TRUE(driver.exchange(server.port(), request).response.has_value());
    request.headers = {{"traceparent", "t-2"}};
    const http_outcome outcome = driver.exchange(server.port(), request);
    EXPECT_TRUE(outcome.bytesSent);
    EXPECT_EQ(outcome.response ? error_kind::internal_error : outcome.response.error(),
              error_kind::backend_answer_incomplete);
    EXPECT_EQ(server.connections(), 1);
}

struct rejected_response
{
    const char *name;
    const char *text;
};

class process_http_client_rejects : public testing::TestWithParam<rejected_response>
{ };

// Guards against an incomplete response, or one whose end is unknown, reaching a caller as a
// complete response.
TEST_P(process_http_client_rejects, incomplete_responses)
{
    raw_server server({replyWith(GetParam().text)});
    const http_outcome outcome =
            client_driver({.maxResponseBytes = 16}).exchange(server.port(), get);
    ASSERT_FALSE(outcome.response.has_value());
    EXPECT_EQ(outcome.response.error(), error_kind::backend_answer_incomplete);
    EXPECT_TRUE(outcome.bytesSent);
}

INSTANTIATE_TEST_SUITE_P(
        responses, process_http_client_rejects,
        testing::Values(
                rejected_response{"short_body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"},
                rejected_response{"open_chunk",
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npa"},
                rejected_response{
                        "no_last_chunk",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
                rejected_response{"other_encoding",
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\npart"},
                rejected_response{"not_delimited", "HTTP/1.1 200 OK\r\n\r\nuntil the end"},
                rejected_response{"not_delimited_close",
                                  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end"},
                rejected_response{
                        "two_lengths",
                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\npart"},
                rejected_response{"too_large",
                                  "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n12345678901234567"},
                rejected_response{"broken_headers", "HTTP/1.1 200 OK\r\nContent-Le"}),
        [](const testing::TestParamInfo<rejected_response> &info) { return info.param.name; });

// Guards against rejecting responses that have no body by definition.
TEST(process_http_client, responses_without_a_body_are_complete)
{
    raw_server server({replyWith("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"),
                       replyWith("HTTP/1.1 304 Not Modified\r\nConnection: close\r\n\r\n"),
                       replyWith("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")});
    client_driver driver;
    EXPECT_EQ(driver.exchange(server.port(), get).response.value().status, 204);
    EXPECT_EQ(driver.exchange(server.port(), get).response.value().status, 304);
    EXPECT_EQ(driver.exchange(server.port(), {"HEAD", "/", {}, nullptr}).response.value().status,
              200);
}

// Guards against a complete response made of one that the server broke off in its head or its body.
TEST(process_http_client, responses_that_end_early_are_never_complete)
{
    const std::vector<std::string> complete{
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nok"};
    for (const std::string &text : complete) {
        // A chunked body is complete with its last chunk (RFC 9112, section 8).
        const std::string lastChunk = "\r\n\r\n0\r\n";
        const std::size_t chunkedEnd = text.find(lastChunk);
        const std::size_t completeSize =
                chunkedEnd == std::string::npos ? text.size() : chunkedEnd + lastChunk.size();
        std::vector<raw_server::script> scripts;
        for (std::size_t size = 0; size <= text.size(); ++size)
            scripts.push_back(replyWith(text.substr(0, size)));
        raw_server server(std::move(scripts));
        client_driver driver;
        for (std::size_t size = 0; size < text.size(); ++size) {
            if (size >= completeSize) {
                driver.exchange(server.port(), post("text"));
                continue;
            }
            const http_outcome outcome = driver.exchange(server.port(), post("text"));
            EXPECT_FALSE(outcome.response) << text.substr(0, size);
        }
        EXPECT_TRUE(driver.exchange(server.port(), post("text")).response) << text;
    }
}

// Guards against reporting a refused connection as a request that the server may have executed.
TEST(process_http_client, refused_connections_are_distinguished)
{
    std::uint16_t port = 0;
    {
        raw_server server({});
        port = server.port();
    }
    const http_outcome outcome = client_driver().exchange(port, post("text"));
    EXPECT_FALSE(outcome.bytesSent);
    EXPECT_TRUE(outcome.connectionBroken);
    EXPECT_TRUE(outcome.connectionRefused);
}

// Guards against a request that keeps running on an open connection after its timeout or
// cancellation.
TEST(process_http_client, timeout_and_cancellation_close_the_connection)
{
    std::promise<std::string> afterTimeout;
    std::promise<void> arrived;
    std::promise<std::string> afterCancel;
    raw_server server({[&](raw_connection &connection) {
                           connection.readUntil(headEnd);
                           afterTimeout.set_value(connection.readAll());
                       },
                       [&](raw_connection &connection) {
                           connection.readUntil(headEnd);
                           arrived.set_value();
                           afterCancel.set_value(connection.readAll());
                       }});
    client_driver driver;
    const http_outcome timedOut = driver.exchange(server.port(), get, milliseconds(50));
    EXPECT_EQ(timedOut.response.error(), error_kind::backend_timeout);
    EXPECT_TRUE(timedOut.bytesSent);
    EXPECT_EQ(afterTimeout.get_future().get(), "");

    driver.submit(server.port(), get);
    std::future<void> sent = arrived.get_future();
    while (sent.wait_for(milliseconds(0)) != std::future_status::ready)
        driver.client().runOnce(milliseconds(10));
    driver.client().cancel(2);
    EXPECT_EQ(driver.await().response.error(), error_kind::cancelled);
    EXPECT_EQ(afterCancel.get_future().get(), "");
}

// Guards against a header value or target from a peer that injects a header or a second request.
TEST(process_http_client, malformed_requests_are_not_sent)
{
    client_driver driver;
    const std::vector<http_request> malformed = {
            {"GET", "/a b", {}, nullptr},
            {"GET", "http://other/", {}, nullptr},
            {"GET /", "/", {}, nullptr},
            {"GET", "/", {{"A", "1\r\nB: 2"}}, nullptr},
            {"GET", "/", {{"A: 1\r\nB", "2"}}, nullptr},
    };
    for (const http_request &request : malformed) {
        const http_outcome outcome = driver.exchange(1, request);
        EXPECT_EQ(outcome.response.error(), error_kind::bad_request);
        EXPECT_FALSE(outcome.bytesSent);
    }
}

} // namespace
} // namespace tamarackridge
