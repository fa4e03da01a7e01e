// Servers and callers that send bytes without end, on real sockets.
#include "fakes/loop_runner.h"
#include "sidecar/connection_pool.h"
#include "sidecar/http_listener.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t megabyte = std::size_t{1024} * 1024;
constexpr std::size_t writeBytes = std::size_t{64} * 1024;

/// Server that responds to each connection with a start and then repeats bytes until the connection
/// is closed.
class endless_server
{
public:
    endless_server(boost::asio::io_context &loop, const socket_address &address, std::string start,
                   const std::string &repeated)
        : m_acceptor(loop, address.endpoint())
        , m_start(std::move(start))
    {
        while (m_repeated.size() < writeBytes)
            m_repeated += repeated;
        accept();
    }

    std::size_t bytesTaken = 0; ///< Over all connections.
    std::size_t open = 0; ///< Connections that are still open.

private:
    struct connection
    {
        explicit connection(tcp::socket accepted)
            : socket(std::move(accepted))
        { }
        tcp::socket socket;
        std::array<char, 4096> request{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            const std::shared_ptr<connection> item =
                    std::make_shared<connection>(std::move(socket));
            ++open;
            item->socket.async_read_some(
                    boost::asio::buffer(item->request),
                    [this, item](boost::system::error_code, std::size_t) { send(item, m_start); });
            accept();
        });
    }

    void send(const std::shared_ptr<connection> &item, const std::string &bytes)
    {
        boost::asio::async_write(item->socket, boost::asio::buffer(bytes),
                                 [this, item](boost::system::error_code error, std::size_t count) {
                                     bytesTaken += count;
                                     if (error)
                                         --open;
                                     else
                                         send(item, m_repeated);
                                 });
    }

    tcp::acceptor m_acceptor;
    std::string m_start;
    std::string m_repeated;
};

struct endless_case
{
    std::string name;
    std::string start;
    std::string repeated;
};

std::string caseName(const testing::TestParamInfo<endless_case> &info)
{
    return info.param.name;
}

const std::string responseStart = "HTTP/1.1 200 OK\r\nId: r\r\n";

struct sidecar_endless_response : testing::TestWithParam<endless_case>
{
    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    connection_pool pool{loop, address};
    std::vector<exchange_result> results;

    void request(duration timeout = seconds(60))
    {
        http_request message{"GET", "/", {{"Host", "h"}, {"Id", "r"}}, nullptr};
        pool.exchange(message, {"Id", "r"}, monotonicNow() + timeout, connection_reuse::any,
                      [this](exchange_result result) { results.push_back(std::move(result)); });
    }
    bool run(const std::function<bool()> &done)
    {
        return runUntil(loop, done, [this] { pool.sweep(monotonicNow()); });
    }
};

// Guards against a process that runs out of memory, or is kept busy until the deadline, because a
// server sends bytes that are no response until its connection is closed.
TEST_P(sidecar_endless_response, ends_the_exchange_and_closes_the_connection)
{
    const endless_case &kind = GetParam();
    endless_server server(loop, address, kind.start, kind.repeated);
    request();
    ASSERT_TRUE(run([&] { return results.size() == 1 && server.open == 0; }));
    EXPECT_EQ(results[0].end, exchange_outcome::broken);
    EXPECT_TRUE(results[0].bytesSent);
    EXPECT_LT(server.bytesTaken, 40 * megabyte);
    EXPECT_EQ(pool.busy(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
        kinds, sidecar_endless_response,
        testing::Values(
                endless_case{"head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
                endless_case{"header_line", "HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaa"},
                endless_case{"no_http", "", "\x7f\x01junk"},
                endless_case{"body_without_length", responseStart + "\r\n", "bytes"},
                endless_case{"chunks", responseStart + "Transfer-Encoding: chunked\r\n\r\n",
                             "5\r\nbytes\r\n"},
                endless_case{"chunk_extension",
                             responseStart + "Transfer-Encoding: chunked\r\n\r\n5;a=", "bbbbbbbb"},
                endless_case{"trailers", responseStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                             "X-More: 1\r\n"},
                endless_case{"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                endless_case{"responses_to_others", "",
                             "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nbytes"}),
        caseName);

using sidecar_endless_responses = sidecar_endless_response;

// Guards against a sum over all connections that grows with their number: each response alone is
// below its limit.
TEST_F(sidecar_endless_responses, the_sum_over_all_connections_is_bounded)
{
    endless_server server(loop, address, responseStart + "\r\n", "bytes");
    constexpr std::size_t connections = 20;
    for (std::size_t count = 0; count < connections; ++count)
        request();
    std::size_t maxHeld = 0;
    EXPECT_TRUE(runUntil(
            loop, [&] { return results.size() == connections && server.open == 0; },
            [&] { maxHeld = std::max(maxHeld, pool.heldBytes()); }));
    EXPECT_GT(maxHeld, 0U);
    EXPECT_LE(maxHeld, 36 * megabyte);
    EXPECT_EQ(pool.heldBytes(), 0U);
}

// Guards against a server that keeps a slot beyond the deadline by sending a byte now and then.
TEST_F(sidecar_endless_responses, a_slow_endless_response_ends_at_the_deadline)
{
    tcp::acceptor acceptor(loop, address.endpoint());
    std::optional<tcp::socket> peer;
    acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
        peer.emplace(std::move(socket));
        boost::asio::write(*peer, boost::asio::buffer(responseStart + "\r\n"));
    });
    request(milliseconds(400));
    ASSERT_TRUE(runUntil(
            loop, [&] { return results.size() == 1; },
            [&] {
                pool.sweep(monotonicNow());
                boost::system::error_code ignored;
                if (peer)
                    boost::asio::write(*peer, boost::asio::buffer("x", 1), ignored);
            }));
    EXPECT_EQ(results[0].end, exchange_outcome::timeout);
}

struct sidecar_endless_request : testing::TestWithParam<endless_case>
{
    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    call_id lastCall = 0;
    caller_limits limits{std::uint64_t{8} * 1024, megabyte, seconds(5), seconds(5)};
    http_listener listener{loop, address,
                           listener_callbacks{[](call_id, const http_request &) {}, [](call_id) {},
                                              [this]() -> const caller_limits & { return limits; },
                                              [] { return false; }},
                           lastCall};
};

// Guards against a caller whose request never ends: its bytes count towards the process's memory.
TEST_P(sidecar_endless_request, is_refused_with_bounded_memory)
{
    const endless_case &kind = GetParam();
    tcp::socket caller(loop);
    caller.connect(address.endpoint());
    caller.non_blocking(true);
    std::string repeated;
    while (repeated.size() < writeBytes)
        repeated += kind.repeated;
    boost::asio::write(caller, boost::asio::buffer(kind.start));
    std::size_t taken = 0;
    bool refused = false;
    std::array<char, 4096> response{};
    EXPECT_TRUE(runUntil(
            loop, [&] { return refused; },
            [&] {
                boost::system::error_code error;
                taken += caller.write_some(boost::asio::buffer(repeated), error);
                caller.read_some(boost::asio::buffer(response), error);
                refused = error != boost::asio::error::would_block || taken > 32 * megabyte;
            }));
    EXPECT_LT(taken, 8 * megabyte);
}

INSTANTIATE_TEST_SUITE_P(
        kinds, sidecar_endless_request,
        testing::Values(
                endless_case{"head", "GET / HTTP/1.1\r\nHost: h\r\n", "X-More: 1\r\n"},
                endless_case{"body",
                             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "5\r\nbytes\r\n"},
                endless_case{"chunk_extension",
                             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
                             "bbbbbbbb"},
                endless_case{
                        "trailers",
                        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                        "X-More: 1\r\n"}),
        caseName);

} // namespace
} // namespace tamarackridge
