#include "fakes/raw_server.h"
#include "node/caller_server.h"
#include "node/error_reply.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace tamarackridge {
namespace {

using fakes::raw_connection;

constexpr std::string_view headEnd = "\r\n\r\n";

// A server that responds with the request's method, target and body, and stores the last request.
class node_caller_server : public testing::Test
{
protected:
    node_caller_server()
        : m_server(options(), [this](http_request request, const caller_connection &) {
            ++m_handled;
            if (request.target == "/throw")
                throw std::runtime_error("fault");
            if (request.target == "/large")
                return http_response{
                        200, {{"X", std::string(maxResponseHeaderBytes, 'x')}}, nullptr};
            const std::string text = request.method + ' ' + request.target + ' '
                                     + std::string(bodyView(request.body));
            const std::lock_guard lock(m_mutex); // Each connection has its own thread.
            m_lastRequest = std::move(request);
            return http_response{200,
                                 {{"Set-Cookie", "a"}, {"Set-Cookie", "b"}, {"Set-Cookie", "c"}},
                                 std::make_shared<const std::string>(text)};
        })
    { }

    static caller_server_options options()
    {
        caller_server_options options;
        options.address = "127.0.0.1";
        options.maxBodyBytes = 100;
        options.maxHeaderBytes = 2048;
        return options;
    }
    // Sends bytes, closes the sending side and returns all bytes received.
    std::string exchange(const std::string &text) const
    {
        raw_connection connection(raw_connection::connectTo(m_server.port()));
        connection.write(text);
        connection.closeSendingSide();
        return connection.readAll();
    }

    std::atomic<int> m_handled = 0;
    std::mutex m_mutex;
    http_request m_lastRequest;
    caller_server m_server;
};

std::string postOf(std::size_t size)
{
    return "POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
           + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
}

// Guards against a changed request target, and against repeated headers of requests or responses
// being lost or merged.
TEST_F(node_caller_server, passes_requests_and_responses_unchanged)
{
    const std::string response =
            exchange("PUT /a%20b/../c?q=%41&r HTTP/1.1\r\nHost: h\r\nX: \xff\r\n"
                     "X: 2\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response;
    EXPECT_TRUE(response.ends_with("PUT /a%20b/../c?q=%41&r abc")) << response;
    std::vector<std::string> values;
    for (const http_header &header : m_lastRequest.headers) {
        if (header.name == "X")
            values.push_back(header.value);
    }
    EXPECT_EQ(values, (std::vector<std::string>{"\xff", "2"}));
    for (const char *const value : {": a\r\n", ": b\r\n", ": c\r\n"})
        EXPECT_NE(response.find(value), std::string::npos) << response;
}

// Guards against connections that are closed after each request.
TEST_F(node_caller_server, reuses_connections)
{
    raw_connection connection(raw_connection::connectTo(m_server.port()));
    for (int i = 0; i < 3; ++i) {
        connection.write("GET /k HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_FALSE(connection.readUntil(headEnd).empty());
        EXPECT_EQ(connection.readUntil("GET /k "), "GET /k ");
    }
    EXPECT_EQ(m_handled, 3);
}

struct invalid_request
{
    std::string name;
    std::string text;
    error_kind kind;
};

class node_caller_server_rejects
    : public node_caller_server
    , public testing::WithParamInterface<invalid_request>
{ };

// Guards against invalid requests being passed to the handler, and against error responses without
// a run state.
TEST_P(node_caller_server_rejects, invalid_requests_with_the_error_table_response)
{
    const std::string response = exchange(GetParam().text);
    const error_response &expected = responseFor(GetParam().kind);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 " + std::to_string(expected.httpStatus)))
            << response;
    EXPECT_NE(response.find("Tamarackridge-Error: " + std::string(expected.name)),
              std::string::npos)
            << response;
    EXPECT_NE(response.find("Tamarackridge-Run-State: not-run"), std::string::npos) << response;
    EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
    EXPECT_EQ(m_handled, 0);
}

INSTANTIATE_TEST_SUITE_P(
        requests, node_caller_server_rejects,
        testing::Values(
                invalid_request{"body_too_large", postOf(101), error_kind::request_too_large},
                invalid_request{"headers_too_large",
                                "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2100, 'x')
                                        + "\r\n\r\n",
                                error_kind::headers_too_large},
                invalid_request{"body_ends_early",
                                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\npart",
                                error_kind::body_incomplete},
                invalid_request{"no_body_at_all",
                                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n",
                                error_kind::body_incomplete},
                invalid_request{"chunk_ends_early",
                                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "9\r\npart",
                                error_kind::body_incomplete},
                invalid_request{"last_chunk_missing",
                                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "4\r\npart\r\n",
                                error_kind::body_incomplete},
                invalid_request{"headers_end_early", "GET / HTTP/1.1\r\nHost: h\r\nX",
                                error_kind::bad_request},
                invalid_request{"length_and_chunks",
                                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                                "Content-Length: 4\r\n\r\n4\r\npart\r\n0\r\n\r\n",
                                error_kind::bad_request},
                invalid_request{"two_lengths",
                                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                                "Content-Length: 4\r\n\r\npart",
                                error_kind::bad_request}),
        [](const testing::TestParamInfo<invalid_request> &info) { return info.param.name; });

// Guards against an off-by-one in the body limit.
TEST_F(node_caller_server, accepts_a_body_of_maximum_size)
{
    EXPECT_TRUE(exchange(postOf(100)).starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(bodyView(m_lastRequest.body).size(), 100U);
}

// Guards against a connection's memory being too small to hold the headers of a request and of its
// response.
TEST_F(node_caller_server, largest_request_and_response_headers_fit_together)
{
    const std::string line = "GET /large HTTP/1.1\r\nHost: h\r\nX: ";
    const std::string response = exchange(line + std::string(2000, 'x') + "\r\n\r\n");
    EXPECT_GT(response.size(), maxResponseHeaderBytes);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response.substr(0, 80);
}

// Guards against an exception of the handler passing through the C code of the HTTP library.
TEST_F(node_caller_server, exceptions_become_internal_errors)
{
    EXPECT_TRUE(exchange("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 500 "));
}

// Guards against a shutdown that closes connections while callers still send requests on them.
TEST_F(node_caller_server, closes_connections_after_the_next_response_while_leaving)
{
    raw_connection connection(raw_connection::connectTo(m_server.port()));
    connection.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(connection.readUntil(headEnd).find("Connection: close"), std::string::npos);
    m_server.closeAfterResponses();
    connection.write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string rest = connection.readAll();
    EXPECT_NE(rest.find("Connection: close"), std::string::npos) << rest;
    EXPECT_TRUE(rest.ends_with("GET /2 ")) << rest;
}

// Guards against connections being reset at the end of a planned stop because the server has not
// accepted them yet, although callers have sent requests on them.
TEST_F(node_caller_server, finish_serves_the_connections_that_exist)
{
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int i = 0; i < 20; ++i) {
        const int socket = raw_connection::connectTo(m_server.port());
        connections.push_back(std::make_unique<raw_connection>(socket));
        connections.back()->write("GET /end HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    m_server.closeAfterResponses();
    m_server.stopGracefully();
    for (const std::unique_ptr<raw_connection> &connection : connections)
        EXPECT_EQ(connection->readUntil("GET /end ").substr(0, 13), "HTTP/1.1 200 ");
    EXPECT_LT(raw_connection::connectTo(m_server.port()), 0);
}

} // namespace
} // namespace tamarackridge
