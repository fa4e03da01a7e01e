#include "fakes/loop_runner.h"
#include "sidecar/connection_pool.h"
#include "sidecar/http_listener.h"
#include "sidecar/server_runner.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::runUntil;

/// A caller that writes and reads raw bytes.
class raw_caller
{
public:
    raw_caller(boost::asio::io_context &loop, const socket_address &address)
        : m_socket(loop)
    {
        m_socket.connect(address.endpoint());
        read();
    }

    void write(const std::string &text) { boost::asio::write(m_socket, boost::asio::buffer(text)); }
    /// Writes \a text as fast as the other side reads it.
    void writeLater(std::string text)
    {
        m_text = std::move(text);
        writeNext();
    }
    void close() { m_socket.close(); }

    std::string received;
    std::size_t written = 0; ///< By writeLater().
    bool ended = false;

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_chunk),
                                 [this](boost::system::error_code error, std::size_t count) {
                                     received.append(m_chunk.data(), count);
                                     if (error)
                                         ended = true;
                                     else
                                         read();
                                 });
    }

    void writeNext()
    {
        m_socket.async_write_some(boost::asio::buffer(m_text) + written,
                                  [this](boost::system::error_code error, std::size_t count) {
                                      written += count;
                                      if (!error && written < m_text.size())
                                          writeNext();
                                  });
    }

    tcp::socket m_socket;
    std::string m_text;
    std::array<char, 4096> m_chunk{};
};

http_response responseOf(const std::string &body)
{
    http_response response;
    response.status = 200;
    response.body = std::make_shared<const std::string>(body);
    return response;
}

struct sidecar_listener : testing::Test
{
    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    call_id lastCall = 0;
    caller_limits limits{1024, 2048, std::chrono::milliseconds(300),
                         std::chrono::milliseconds(600)};
    std::vector<std::pair<call_id, http_request>> requests;
    std::vector<call_id> disconnected;
    bool leaving = false;
    std::unique_ptr<http_listener> listener = std::make_unique<http_listener>(
            loop, address,
            listener_callbacks{[this](call_id call, http_request request) {
                                   requests.emplace_back(call, std::move(request));
                               },
                               [this](call_id call) { disconnected.push_back(call); },
                               [this]() -> const caller_limits & { return limits; },
                               [this] { return leaving; }},
            lastCall);

    bool run(const std::function<bool()> &done)
    {
        return runUntil(loop, done, [this] { listener->sweep(monotonicNow()); });
    }
};

/// Leaves this process without free file descriptors during its lifetime.
class exhausted_descriptors
{
public:
    exhausted_descriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const int lowestFree = dup(STDOUT_FILENO);
        ::close(lowestFree);
        rlimit lowered = m_before;
        lowered.rlim_cur = static_cast<rlim_t>(lowestFree);
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    exhausted_descriptors(const exhausted_descriptors &) = delete;
    exhausted_descriptors &operator=(const exhausted_descriptors &) = delete;
    ~exhausted_descriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }

private:
    rlimit m_before{};
};

// Guards against a busy loop: without free file descriptors, every accept fails immediately.
TEST_F(sidecar_listener, accepting_pauses_without_free_descriptors_and_resumes)
{
    raw_caller caller(loop, address);
    std::size_t events = 0;
    {
        const exhausted_descriptors none;
        events = loop.run_for(std::chrono::milliseconds(300));
    }
    EXPECT_LT(events, 100U);
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(run([this] { return !requests.empty(); }));
}

TEST_F(sidecar_listener, pipelined_requests_are_answered_in_order)
{
    raw_caller caller(loop, address);
    caller.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2?q=1 HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    ASSERT_TRUE(run([&] { return requests.size() == 1; }));
    listener->respond(requests[0].first, responseOf("one"));
    ASSERT_TRUE(run([&] { return requests.size() == 2; }));
    EXPECT_EQ(requests[1].second.target, "/2?q=1");
    EXPECT_EQ(bodyView(requests[1].second.body), "abc");
    listener->respond(requests[1].first, responseOf("two"));
    ASSERT_TRUE(run([&] { return caller.received.ends_with("two"); }));
    EXPECT_LT(caller.received.find("one"), caller.received.find("two"));
}

// Guards against a caller whose unanswered requests fill the buffer and end the process: reading
// stops until responses leave, and goes on then. Found by an independent review.
TEST_F(sidecar_listener, a_caller_that_pipelines_is_held_by_back_pressure)
{
    limits.maxHeaderBytes = std::uint64_t{16} * 1024;
    limits.headerTimeout = limits.idleTimeout = std::chrono::seconds(10);
    constexpr std::size_t sent = 20'000; // More than the buffers of the kernel hold.
    constexpr std::size_t answeredRequests = 600;
    raw_caller caller(loop, address);
    const std::string padding(1000, 'x');
    std::string text;
    for (std::size_t item = 0; item < sent; ++item)
        text += "GET /" + std::to_string(item) + " HTTP/1.1\r\nHost: h\r\nPadding: " + padding
                + "\r\n\r\n";
    caller.writeLater(text);
    std::size_t answered = 0;
    ASSERT_TRUE(run([&] { return !requests.empty(); }));
    // The caller sends faster than its requests are processed.
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(requests.size(), 1U);
    EXPECT_LT(caller.written, text.size());
    ASSERT_TRUE(run([&] {
        while (answered < requests.size()) {
            EXPECT_EQ(requests[answered].second.target, "/" + std::to_string(answered));
            listener->respond(requests[answered++].first, responseOf("ok"));
        }
        return answered >= answeredRequests;
    }));
    EXPECT_LT(caller.written, text.size());
    EXPECT_TRUE(disconnected.empty());
    EXPECT_FALSE(caller.ended);
}

// Guards against work for a caller that has disconnected: the listener must detect this while the
// request is being processed.
TEST_F(sidecar_listener, a_disconnected_caller_is_detected_before_the_response)
{
    raw_caller caller(loop, address);
    caller.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(run([&] { return requests.size() == 1; }));
    caller.close();
    ASSERT_TRUE(run([&] { return disconnected.size() == 1; }));
    EXPECT_EQ(disconnected[0], requests[0].first);
    listener->respond(requests[0].first, responseOf("late"));
}

// Guards against request smuggling: a second request hidden in the first.
TEST_F(sidecar_listener, requests_with_ambiguous_length_or_host_are_refused)
{
    const std::string twoLengths = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: "
                                   "5\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> texts = {
            twoLengths + "0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
            "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
            "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\nabc",
            "GET /1 HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            "GET /1 HTTP/1.1\r\n\r\n",
            "GET /1 HTTP/1.1\r\nHost : h\r\n\r\n",
            "NONSENSE\r\n\r\n"};
    for (const std::string &text : texts) {
        raw_caller caller(loop, address);
        caller.write(text);
        EXPECT_TRUE(run([&] { return caller.ended; })) << text;
        EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 400 ")) << text << caller.received;
    }
    EXPECT_TRUE(requests.empty());
}

// Guards against callers that exhaust memory: requests that are too large or too slow are refused.
TEST_F(sidecar_listener, configured_limits_are_enforced)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
            {"GET /1 HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "431"},
            {"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n", "413"},
            {"GET /1 HTTP/1.1\r\nHost: h\r\n", "408"}};
    for (const auto &[text, status] : cases) {
        raw_caller caller(loop, address);
        caller.write(text);
        EXPECT_TRUE(run([&] { return caller.ended; })) << status;
        EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 " + status)) << caller.received;
    }
    raw_caller idle(loop, address);
    EXPECT_TRUE(run([&] { return idle.ended; }));
    EXPECT_TRUE(requests.empty());
}

// Guards against a body over the limit that is parsed as further header fields, when its first
// bytes arrive with the head.
TEST_F(sidecar_listener, a_body_over_the_limit_is_refused_before_it_is_parsed)
{
    for (const char *length : {"2049", "4000", "100000000", "232323232323232323"}) {
        const std::string head =
                "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::string(length);
        for (const char *body :
             {"b", "text without a line end", "X: 1\r\n", "Content-Length: 2\r\n\r\nok", "\r\nok",
              "\r\n", "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"}) {
            raw_caller caller(loop, address);
            caller.write(head + "\r\n\r\n" + body);
            EXPECT_TRUE(run([&] { return caller.ended; })) << length << body;
            EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 413 "))
                    << length << body << caller.received;
        }
    }
    EXPECT_TRUE(requests.empty());
}

// Guards against a caller whose request ends the process: where the operator sets a high limit, the
// announced length was reserved in memory before any of its bytes had arrived.
TEST_F(sidecar_listener, an_announced_length_is_not_reserved_as_a_whole)
{
    for (const std::uint64_t limit :
         {std::uint64_t{1} << 40U, std::uint64_t{1} << 53U, std::uint64_t{1} << 62U}) {
        limits.maxBodyBytes = limit;
        raw_caller caller(loop, address);
        caller.write("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(limit)
                     + "\r\n\r\npart");
        EXPECT_TRUE(run([&] { return caller.ended; })) << limit;
        EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 408 ")) << caller.received;
    }
    EXPECT_TRUE(requests.empty());
    raw_caller caller(loop, address);
    caller.write("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(run([&] { return requests.size() == 1; }));
}

// Guards against a caller whose request ends the process: a field that is longer than the HTTP
// library can store, where the operator's limit allows it. Found by an independent review.
TEST_F(sidecar_listener, a_field_that_cannot_be_stored_is_refused)
{
    constexpr std::size_t longestField = 65'533;
    constexpr std::size_t excess = 500;
    limits.maxHeaderBytes = std::uint64_t{200} * 1024;
    limits.headerTimeout = std::chrono::seconds(5);
    const std::string start = "GET /1 HTTP/1.1\r\nHost: h\r\n";
    for (const std::size_t size : {longestField + 1, longestField + excess, 2 * longestField}) {
        for (const std::string &field :
             {"X: " + std::string(size, 'x'), std::string(size, 'x') + ": 1"}) {
            raw_caller caller(loop, address);
            caller.write(start + field + "\r\n\r\n");
            EXPECT_TRUE(run([&] { return caller.ended; })) << size;
            EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 431 ")) << caller.received;
        }
    }
    EXPECT_TRUE(requests.empty());
    const std::string value(longestField, 'x');
    raw_caller caller(loop, address);
    caller.write(start + "X: " + value + "\r\nY: " + value + "\r\n\r\n");
    ASSERT_TRUE(run([&] { return requests.size() == 1; }));
    EXPECT_EQ(headerValue(requests[0].second.headers, "X"), value);
    EXPECT_EQ(headerValue(requests[0].second.headers, "Y"), value);
}

// Guards against a planned stop that cuts off a request that is half read, or a response that the
// caller has not taken yet.
TEST_F(sidecar_listener, is_busy_until_requests_are_read_and_responses_are_taken)
{
    EXPECT_FALSE(listener->busy());
    tcp::socket caller(loop);
    caller.connect(address.endpoint());
    boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n")));
    ASSERT_TRUE(run([this] { return listener->busy(); }));
    boost::asio::write(caller, boost::asio::buffer(std::string("Host: h\r\n\r\n")));
    ASSERT_TRUE(run([this] { return requests.size() == 1; }));
    EXPECT_TRUE(listener->busy());
    const std::string body(std::size_t{16} * 1024 * 1024, 'b');
    listener->respond(requests[0].first, responseOf(body));
    loop.restart();
    loop.run_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(listener->busy());
    caller.non_blocking(true);
    std::size_t taken = 0;
    std::array<char, 65536> chunk{};
    EXPECT_TRUE(runUntil(
            loop, [&] { return taken >= body.size(); },
            [&] {
                boost::system::error_code error;
                while (!error)
                    taken += caller.read_some(boost::asio::buffer(chunk), error);
            }));
    EXPECT_TRUE(run([this] { return !listener->busy(); }));
}

// Guards against requests cut off by a planned stop: a connection is closed only after a response
// with `Connection: close`.
TEST_F(sidecar_listener, a_leaving_process_closes_connections_after_the_response)
{
    raw_caller caller(loop, address);
    caller.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(run([&] { return requests.size() == 1; }));
    leaving = true;
    listener->respond(requests[0].first, responseOf("whole"));
    EXPECT_TRUE(run([&] { return caller.ended; }));
    EXPECT_NE(caller.received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(caller.received.ends_with("whole"));
}

/// A backend server that responds to each request with the bytes that \a script returns.
class scripted_server
{
public:
    scripted_server(boost::asio::io_context &loop, const socket_address &address)
        : m_acceptor(loop, address.endpoint())
    {
        accept();
    }

    std::function<std::string(const std::string &request)> script;
    bool closesAfterResponse = false;
    bool resets = false;
    /// A connection that was idle for longer is dropped: the next request on it is reset.
    duration dropsIdleAfter = std::chrono::hours(1);
    int connections = 0;
    std::vector<std::shared_ptr<tcp::socket>> sockets;

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++connections;
            sockets.push_back(std::make_shared<tcp::socket>(std::move(socket)));
            read(sockets.back(), std::make_shared<std::string>());
            accept();
        });
    }

    void read(const std::shared_ptr<tcp::socket> &socket, const std::shared_ptr<std::string> &text)
    {
        const std::shared_ptr<std::array<char, 4096>> chunk =
                std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(
                boost::asio::buffer(*chunk),
                [this, socket, text, chunk](boost::system::error_code error, std::size_t count) {
                    if (error)
                        return;
                    text->append(chunk->data(), count);
                    if (text->find("\r\n\r\n") != std::string::npos)
                        respond(*socket, std::exchange(*text, {}));
                    if (socket->is_open())
                        read(socket, text);
                });
    }

    void respond(tcp::socket &socket, const std::string &request)
    {
        boost::system::error_code ignored;
        const time_point now = monotonicNow();
        const auto used = m_lastUsed.try_emplace(&socket, now).first;
        const bool dropped = now - std::exchange(used->second, now) > dropsIdleAfter;
        if (!dropped)
            boost::asio::write(socket, boost::asio::buffer(script(request)), ignored);
        if (resets || dropped)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        if (resets || dropped || closesAfterResponse)
            socket.close(ignored);
    }

    tcp::acceptor m_acceptor;
    std::map<tcp::socket *, time_point> m_lastUsed;
};

std::string rawResponse(const std::string &id, const std::string &body,
                        const std::string &more = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\n" + more
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct sidecar_server_runner : testing::Test
{
    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    std::unique_ptr<scripted_server> server = std::make_unique<scripted_server>(loop, address);
    std::vector<std::pair<backend_result, bool>> results;
    server_runner runner{loop,
                         address,
                         {"Id", "Not-Run", "Seal", "Rate", "Leaving"},
                         [this](run_id, backend_result result, bool connectionRefused) {
                             results.emplace_back(std::move(result), connectionRefused);
                         }};
    run_id lastRun = 0;

    run_backend item(const std::string &id, duration timeout = std::chrono::seconds(3))
    {
        run_backend work;
        work.run = ++lastRun;
        work.request.method = "GET";
        work.request.target = "/1";
        work.request.headers = {{"Host", "h"}, {"Id", id}};
        work.timeout = timeout;
        return work;
    }
    const backend_result &run(const run_backend &work)
    {
        const std::size_t before = results.size();
        runner.run(work);
        EXPECT_TRUE(runUntil(
                loop, [&] { return results.size() > before; },
                [this] { runner.sweep(monotonicNow()); }));
        return results.back().first;
    }
};

TEST_F(sidecar_server_runner, connections_are_reused_and_responses_keep_their_headers)
{
    server->script = [](const std::string &) { return rawResponse("a", "body", "X: 1\r\n"); };
    for (int request = 0; request < 3; ++request) {
        const backend_result &result = run(item("a"));
        ASSERT_TRUE(result.response);
        EXPECT_EQ(bodyView(result.response->body), "body");
        EXPECT_EQ(headerValue(result.response->headers, "X"), "1");
    }
    EXPECT_EQ(server->connections, 1);
}

// Guards against the loss of a write that must not be sent again, because the server had dropped
// the idle connection.
TEST_F(sidecar_server_runner, a_non_idempotent_request_reuses_only_recently_used_connections)
{
    server->script = [](const std::string &) { return rawResponse("a", "body"); };
    server->dropsIdleAfter = std::chrono::milliseconds(300);
    for (int request = 0; request < 3; ++request) {
        EXPECT_TRUE(run(item("a")).response);
        loop.run_for(std::chrono::milliseconds(350));
    }
    EXPECT_EQ(server->connections, 3);
}

// Guards against one lost request for each idle connection that the server has dropped: after the
// first loss, idle connections are not reused.
TEST_F(sidecar_server_runner, after_a_reset_only_recently_used_connections_are_reused)
{
    server->script = [](const std::string &) { return rawResponse("a", "body"); };
    server->dropsIdleAfter = std::chrono::milliseconds(300);
    run_backend read = item("a");
    read.idempotent = true;
    std::vector<bool> succeeded;
    for (int request = 0; request < 4; ++request) {
        read.run = ++lastRun;
        succeeded.push_back(run(read).response.has_value());
        loop.run_for(std::chrono::milliseconds(350));
    }
    EXPECT_EQ(succeeded, (std::vector<bool>{true, false, true, true}));
}

// Guards against taking a late response to an earlier request for the response to this one.
TEST_F(sidecar_server_runner, a_response_with_another_id_is_skipped)
{
    server->script = [](const std::string &) {
        return rawResponse("old", "x") + rawResponse("a", "y");
    };
    const backend_result &result = run(item("a"));
    ASSERT_TRUE(result.response);
    EXPECT_EQ(bodyView(result.response->body), "y");
    run(item("a"));
    EXPECT_EQ(server->connections, 2) << "the connection must not be reused";
}

// Guards against a caller that gets another request's response: the server sends a second copy
// late, when the connection is in use again, and the new request has no id to compare.
TEST_F(sidecar_server_runner, a_request_without_an_id_gets_a_connection_of_its_own)
{
    server->script = [](const std::string &request) {
        const bool first = request.find("Id: a") != std::string::npos;
        return first ? rawResponse("a", "one") : rawResponse("a", "one") + rawResponse("", "two");
    };
    ASSERT_TRUE(run(item("a")).response);
    run_backend anonymous = item("");
    anonymous.request.headers = {{"Host", "h"}};
    run(anonymous);
    EXPECT_EQ(server->connections, 2);
}

// Guards against reading surplus bytes as the next response.
TEST_F(sidecar_server_runner, a_connection_with_surplus_bytes_is_not_reused)
{
    server->script = [](const std::string &) { return rawResponse("a", "y") + "surplus"; };
    EXPECT_TRUE(run(item("a")).response);
    EXPECT_TRUE(run(item("a")).response);
    EXPECT_EQ(server->connections, 2);
}

// Guards against treating incomplete responses as complete.
TEST_F(sidecar_server_runner, truncated_or_unsealed_responses_are_failures)
{
    server->closesAfterResponse = true;
    server->script = [](const std::string &) {
        return std::string("HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 9\r\n\r\nabc");
    };
    EXPECT_EQ(run(item("a")).response.error(), error_kind::backend_failed);
    server->script = [](const std::string &) { return std::string("garbage\r\n\r\n"); };
    EXPECT_EQ(run(item("a")).response.error(), error_kind::backend_failed);
    server->script = [](const std::string &) {
        return std::string("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx");
    };
    EXPECT_EQ(run(item("a")).response.error(), error_kind::backend_answer_incomplete);
    EXPECT_TRUE(results.back().first.bytesSent);
}

// A response without a length ends when the server closes the connection; a reset before that makes
// it incomplete.
TEST_F(sidecar_server_runner, a_response_without_length_is_complete_only_after_an_orderly_close)
{
    server->script = [](const std::string &) {
        return std::string("HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\nrest");
    };
    server->closesAfterResponse = true;
    const backend_result &complete = run(item("a"));
    ASSERT_TRUE(complete.response);
    EXPECT_EQ(bodyView(complete.response->body), "rest");
    server->resets = true;
    EXPECT_FALSE(run(item("a")).response);
}

// Guards against reporting a wrong run state: "may have run" for a request that did not run, or
// "not run" for one that may have run.
TEST_F(sidecar_server_runner, only_a_rejection_or_a_refused_connection_means_not_run)
{
    server->script = [](const std::string &) {
        return std::string("HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const backend_result &rejected = run(item("a"));
    EXPECT_FALSE(rejected.bytesSent);
    EXPECT_EQ(rejected.response.error(), error_kind::overloaded);
    server->script = [](const std::string &) { return std::string(); };
    const backend_result &timedOut = run(item("a", std::chrono::milliseconds(100)));
    EXPECT_TRUE(timedOut.bytesSent);
    EXPECT_EQ(timedOut.response.error(), error_kind::backend_timeout);
    server->sockets.clear();
    server.reset();
    const backend_result &refused = run(item("a"));
    EXPECT_FALSE(refused.bytesSent);
    EXPECT_TRUE(results.back().second);
}

// Guards against a limit that is missed, misread or taken from a response that belongs to another
// request.
TEST_F(sidecar_server_runner, what_a_server_says_about_itself_is_decoded)
{
    using rate_statement = server_condition::rate_statement;
    struct sample
    {
        std::string headers;
        rate_statement rate;
        double maxRate;
        bool leaving;
    };
    const std::vector<sample> samples{
            {"", rate_statement::unlimited, 0, false},
            {"Rate: 12.5\r\n", rate_statement::limited, 12.5, false},
            {"rate: 0\r\nLeaving: 1\r\n", rate_statement::limited, 0, true},
            {"Rate: -1\r\n", rate_statement::malformed, 0, false},
            {"Rate: 1e3\r\n", rate_statement::malformed, 0, false},
            {"Rate: 12 x\r\nLeaving: 1\r\n", rate_statement::malformed, 0, true},
            {"Rate: nan\r\n", rate_statement::malformed, 0, false},
            {"Rate: inf\r\n", rate_statement::malformed, 0, false}};
    for (const sample &expected : samples) {
        server->script = [&](const std::string &) {
            return rawResponse("a", "y", expected.headers);
        };
        const backend_result &result = run(item("a"));
        ASSERT_TRUE(result.condition) << expected.headers;
        EXPECT_EQ(result.condition->rate, expected.rate) << expected.headers;
        EXPECT_EQ(result.condition->maxRate, expected.maxRate) << expected.headers;
        EXPECT_EQ(result.condition->leaving, expected.leaving) << expected.headers;
    }
    server->script = [](const std::string &) {
        return std::string("HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nRate: 7\r\n"
                           "Content-Length: 0\r\n\r\n");
    };
    EXPECT_EQ(run(item("a")).condition->maxRate, 7) << "in a refusal";
    server->script = [](const std::string &) { return std::string("garbage\r\n\r\n"); };
    EXPECT_FALSE(run(item("a")).condition);
}

// Guards against a complete response made of one that the server broke off in its head or its body.
TEST_F(sidecar_server_runner, responses_that_end_early_are_never_complete)
{
    server->closesAfterResponse = true;
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n";
    for (const std::string &text :
         {head + "Content-Length: 0\r\nX: y\r\n\r\n", head + "Content-Length: 2\r\n\r\nok",
          head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
          std::string("HTTP/1.1 204 No Content\r\nId: a\r\nSeal: s\r\nX: y\r\n\r\n")}) {
        for (std::size_t size = 1; size < text.size(); ++size) {
            server->script = [&](const std::string &) { return text.substr(0, size); };
            EXPECT_FALSE(run(item("a")).response) << text.substr(0, size);
        }
        server->script = [&](const std::string &) { return text; };
        EXPECT_TRUE(run(item("a")).response) << text;
    }
    // Without a length, only the head shows whether the response was cut.
    const std::string endless = head + "X: y\r\n\r\n";
    for (std::size_t size = 1; size < endless.size(); ++size) {
        server->script = [&](const std::string &) { return endless.substr(0, size); };
        EXPECT_FALSE(run(item("a")).response) << endless.substr(0, size);
    }
}

// Guards against a refusal that a faulty server writes once more: the next request on that
// connection would be reported as not run while the server runs it, and be sent to a second server.
TEST_F(sidecar_server_runner, a_repeated_refusal_is_not_taken_for_the_next_response)
{
    const auto refusalOf = [](const std::string &idHeader) {
        return "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    };
    for (const std::string &repeated : {refusalOf("Id: a\r\n"), refusalOf("")}) {
        server->script = [&](const std::string &) { return refusalOf("Id: a\r\n"); };
        EXPECT_EQ(run(item("a")).response.error(), error_kind::overloaded);
        server->script = [&](const std::string &) { return repeated + rawResponse("b", "y"); };
        const backend_result &next = run(item("b"));
        ASSERT_TRUE(next.response) << repeated;
        EXPECT_EQ(next.response->status, 200);
        server->script = [&](const std::string &) { return repeated; };
        const backend_result &silent = run(item("c", std::chrono::milliseconds(200)));
        EXPECT_TRUE(silent.bytesSent) << repeated;
        EXPECT_EQ(silent.response.error(), error_kind::backend_timeout) << repeated;
    }
}

// Guards against a crash that is noticed only when the next request comes, after the requests that
// it interrupted have been sent to other servers.
TEST_F(sidecar_server_runner, a_server_that_refuses_connections_after_one_has_broken_is_down)
{
    int reports = 0;
    runner.onServerDown([&reports] { ++reports; });
    server->script = [](const std::string &) { return std::string(); };
    runner.run(item("a"));
    runner.run(item("b"));
    ASSERT_TRUE(runUntil(loop, [this] { return server->connections == 2; }));
    for (const std::shared_ptr<tcp::socket> &socket : server->sockets)
        socket->close();
    server.reset();
    EXPECT_TRUE(runUntil(
            loop, [&reports] { return reports > 0; }, [this] { runner.sweep(monotonicNow()); }));
}

// Guards against a server that is taken for crashed because it has broken off a response.
TEST_F(sidecar_server_runner, a_server_that_breaks_connections_and_accepts_others_is_not_down)
{
    int reports = 0;
    runner.onServerDown([&reports] { ++reports; });
    server->script = [](const std::string &) { return std::string("HTTP/1.1 200 OK\r\n"); };
    server->closesAfterResponse = true;
    for (int request = 0; request < 5; ++request)
        EXPECT_EQ(run(item("a")).response.error(), error_kind::backend_failed);
    EXPECT_TRUE(runUntil(
            loop, [this] { return server->connections > 5; },
            [this] { runner.sweep(monotonicNow()); }))
            << "a probe was accepted";
    EXPECT_EQ(reports, 0);
}

// Guards against a failed run that can't be found in the log by its request id.
TEST_F(sidecar_server_runner, every_run_is_reported_with_its_request_id)
{
    std::vector<std::string> ended;
    std::vector<run_id> runs;
    runner.onRunEnded([&](const ended_run &run, const backend_result &result) {
        ended.push_back(std::string(run.requestId) + (result.response ? " ran" : " failed"));
        runs.push_back(run.run);
    });
    const run_backend first = item("a");
    const run_backend second = item("b");
    server->script = [](const std::string &) { return rawResponse("a", "y"); };
    run(first);
    server->script = [](const std::string &) { return std::string("garbage\r\n\r\n"); };
    run(second);
    EXPECT_EQ(ended, (std::vector<std::string>{"a ran", "b failed"}));
    EXPECT_EQ(runs, (std::vector<run_id>{first.run, second.run}));
}

// Guards against a failed run whose log line does not tell a wrong length from a cut response.
TEST_F(sidecar_server_runner, a_run_that_fails_is_reported_with_what_broke_it)
{
    std::vector<std::string> causes;
    runner.onRunEnded([&](const ended_run &run, const backend_result &) {
        causes.emplace_back(run.brokenBy);
    });
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\n";
    for (const std::string &response :
         {rawResponse("a", "sound"), head + "Content-Length: 232323232323232323\r\n\r\npart",
          head + "Content-Length: 9\r\n\r\npart", std::string("garbage\r\n\r\n"),
          "HTTP/1.1 000 Trouble\r\n" + head.substr(head.find("Id"))
                  + "Content-Length: 0\r\n\r\n"}) {
        server->script = [&response](const std::string &) { return response; };
        server->closesAfterResponse = true;
        run(item("a"));
    }
    EXPECT_EQ(causes, (std::vector<std::string>{"", "body limit exceeded", "partial message",
                                                "bad version", "invalid status"}));
}

// Guards against a request that ends the process: the HTTP library throws when it prepares a TRACE
// with a body. Found by an independent review.
TEST_F(sidecar_server_runner, every_method_and_body_is_forwarded_unchanged)
{
    std::string received;
    server->script = [&](const std::string &request) {
        received = request;
        return rawResponse("a", "");
    };
    for (const char *method :
         {"TRACE", "GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND", "FOO"}) {
        for (const std::string &body : {std::string("body"), std::string()}) {
            run_backend work = item("a");
            work.request.method = method;
            if (!body.empty())
                work.request.body = std::make_shared<const std::string>(body);
            EXPECT_TRUE(run(work).response) << method;
            EXPECT_TRUE(received.starts_with(std::string(method) + " /1 HTTP/1.1\r\n")) << received;
            EXPECT_TRUE(received.ends_with("\r\n\r\n" + body)) << received;
            EXPECT_EQ(received.find("Content-Length: 4\r\n") != std::string::npos, !body.empty())
                    << received;
        }
    }
}

// Guards against a server that keeps working on a cancelled request.
TEST_F(sidecar_server_runner, a_cancelled_run_closes_its_connection)
{
    server->script = [](const std::string &) { return std::string(); };
    run_backend work = item("a");
    const run_id run = work.run;
    runner.run(work);
    ASSERT_TRUE(runUntil(loop, [&] { return server->connections == 1; }));
    runner.cancel(run);
    ASSERT_TRUE(runUntil(loop, [&] { return results.size() == 1; }));
    EXPECT_EQ(results[0].first.response.error(), error_kind::cancelled);
}

} // namespace
} // namespace tamarackridge
