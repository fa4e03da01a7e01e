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

// Runs one client on the test's thread.
class client_driver
{
public:
    explicit client_driver(http_client_options options = {})
        : m_client(options, [this](std::uint64_t id, http_outcome outcome) {
            m_last = id;
            m_outcome = std::move(outcome);
        })
    { }

    http_client &client() { return m_client; }
    void submit(std::uint16_t port, const http_request &request,
                milliseconds timeout = milliseconds(5000))
    {
        m_client.submit(++m_last, {"127.0.0.1", port}, request, timeout);
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
    std::uint64_t m_last = 0;
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

// A server that reads one request and sends a fixed text, then closes.
raw_server::script replyWith(std::string text)
{
    return [text = std::move(text)](raw_connection &connection) {
        connection.readUntil(headEnd);
        connection.write(text);
    };
}

// Guards against a rewritten target, lost headers and forwarded hop-by-hop headers.
TEST(process_http_client, sends_the_request_as_it_is)
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

// Guards against an invoice posted twice: libcurl by itself would send the request again when a
// kept connection is closed before an answer.
TEST(process_http_client, dead_kept_connection_does_not_resend_a_post)
{
    std::atomic<int> requests = 0;
    const raw_server::script script = [&](raw_connection &connection) {
        // The second request on the connection gets no answer.
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

// Guards against needless connections, and against `bytesSent` without a request.
TEST(process_http_client, connections_are_kept)
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

struct refused_response
{
    const char *name;
    const char *text;
};

class process_http_client_refuses : public testing::TestWithParam<refused_response>
{ };

// Guards against a part of an answer, or an answer with an unknown end, reaching a caller as whole.
TEST_P(process_http_client_refuses, incomplete_responses)
{
    raw_server server({replyWith(GetParam().text)});
    const http_outcome outcome =
            client_driver({.maxResponseBytes = 16}).exchange(server.port(), get);
    ASSERT_FALSE(outcome.response.has_value());
    EXPECT_EQ(outcome.response.error(), error_kind::backend_answer_incomplete);
    EXPECT_TRUE(outcome.bytesSent);
}

INSTANTIATE_TEST_SUITE_P(
        responses, process_http_client_refuses,
        testing::Values(
                refused_response{"short_body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"},
                refused_response{"open_chunk",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npa"},
                refused_response{
                        "no_last_chunk",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
                refused_response{"other_encoding",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\npart"},
                refused_response{"not_delimited", "HTTP/1.1 200 OK\r\n\r\nuntil the end"},
                refused_response{"not_delimited_close",
                                 "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end"},
                refused_response{
                        "two_lengths",
                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\npart"},
                refused_response{"too_large",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n12345678901234567"},
                refused_response{"broken_headers", "HTTP/1.1 200 OK\r\nContent-Le"}),
        [](const testing::TestParamInfo<refused_response> &info) { return info.param.name; });

// Guards against refusing answers that have no body by definition.
TEST(process_http_client, answers_without_a_body_are_whole)
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

// Guards against a refused connection being reported as a request that may have run.
TEST(process_http_client, refused_connections_are_told_apart)
{
    std::uint16_t port = 0;
    {
        raw_server server({});
        port = server.port();
    }
    const http_outcome outcome = client_driver().exchange(port, post("text"));
    EXPECT_FALSE(outcome.bytesSent);
    EXPECT_TRUE(outcome.connectionBroken);
    EXPECT_TRUE(outcome.connectRefused);
}

// Guards against a run that outlives its timeout or its cancellation on an open connection.
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
    const http_outcome late = driver.exchange(server.port(), get, milliseconds(50));
    EXPECT_EQ(late.response.error(), error_kind::backend_timeout);
    EXPECT_TRUE(late.bytesSent);
    EXPECT_EQ(afterTimeout.get_future().get(), "");

    driver.submit(server.port(), get);
    std::future<void> sent = arrived.get_future();
    while (sent.wait_for(milliseconds(0)) != std::future_status::ready)
        driver.client().runOnce(milliseconds(10));
    driver.client().cancel(2);
    EXPECT_EQ(driver.await().response.error(), error_kind::cancelled);
    EXPECT_EQ(afterCancel.get_future().get(), "");
}

// Guards against a peer's header value or target adding a header or a second request.
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
