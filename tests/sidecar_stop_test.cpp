#include "fakes/sidecar_pair.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackridge {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Backend server that responds to each request after a delay.
class delayed_server
{
public:
    delayed_server(boost::asio::io_context &loop, const socket_address &address, duration delay)
        : m_loop(loop)
        , m_acceptor(loop, address.endpoint())
        , m_delay(delay)
    {
        accept();
    }

    std::set<std::string> startedIds;

private:
    struct exchange
    {
        explicit exchange(tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        { }

        tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response<http::string_body> response;
    };

    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            read(std::make_shared<exchange>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<exchange> &item)
    {
        item->request = {};
        http::async_read(item->socket, item->buffer, item->request,
                         [this, item](error_code error, std::size_t) {
                             if (error)
                                 return;
                             startedIds.emplace(item->request["Id"]);
                             item->timer.expires_after(m_delay);
                             item->timer.async_wait([this, item](error_code) { respond(item); });
                         });
    }

    void respond(const std::shared_ptr<exchange> &item)
    {
        item->response = {http::status::ok, 11};
        item->response.set("Id", item->request["Id"]);
        item->response.set("Seal", "s");
        item->response.body() = "whole";
        item->response.prepare_payload();
        http::async_write(item->socket, item->response,
                          [this, item](error_code error, std::size_t) {
                              if (!error)
                                  read(item);
                          });
    }

    boost::asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    duration m_delay;
};

/// Caller that sends one request after the other, on an open connection where it can, until no
/// connection can be opened. Like impatient callers, it ignores Retry-After.
class repeating_caller : public std::enable_shared_from_this<repeating_caller>
{
public:
    repeating_caller(boost::asio::io_context &loop, const socket_address &target, std::string name)
        : m_target(target.endpoint())
        , m_socket(loop)
        , m_timer(loop)
        , m_name(std::move(name))
    { }

    void start(duration delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([this, self = shared_from_this()](error_code) { send(); });
    }
    std::size_t count(unsigned status) const
    {
        return static_cast<std::size_t>(
                std::count_if(statusById.begin(), statusById.end(),
                              [status](const auto &entry) { return entry.second == status; }));
    }

    std::map<std::string, unsigned> statusById; ///< Of whole responses.

private:
    void send()
    {
        m_id = m_name + '-' + std::to_string(++m_sent);
        if (m_socket.is_open()) {
            exchange();
            return;
        }
        m_socket.async_connect(m_target, [this, self = shared_from_this()](error_code error) {
            if (!error)
                exchange();
        });
    }

    void exchange()
    {
        m_request = {http::verb::get, "/read/1", 11};
        m_request.set(http::field::host, "shop.example");
        m_request.set("Id", m_id);
        m_request.set("Key", "key-1");
        http::async_write(m_socket, m_request,
                          [self = shared_from_this()](error_code, std::size_t) {});
        m_response = {};
        http::async_read(
                m_socket, m_buffer, m_response,
                [this, self = shared_from_this()](error_code error, std::size_t) { ended(error); });
    }

    void ended(error_code error)
    {
        if (!error)
            statusById[m_id] = m_response.result_int();
        if (error || !m_response.keep_alive()) {
            error_code ignored;
            m_socket.close(ignored);
            m_buffer.clear();
        }
        constexpr milliseconds pause(20);
        m_timer.expires_after(pause);
        m_timer.async_wait([this, self = shared_from_this()](error_code) { send(); });
    }

    tcp::endpoint m_target;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_name;
    std::string m_id;
    int m_sent = 0;
    boost::beast::flat_buffer m_buffer;
    http::request<http::empty_body> m_request;
    http::response<http::string_body> m_response;
};

struct sidecar_stop : fakes::sidecar_pair
{
    std::vector<std::shared_ptr<repeating_caller>> callers;

    /// The callers start one after the other, so that some request is always in progress.
    void startCallers(int count)
    {
        constexpr milliseconds interval(50);
        for (int number = 0; number < count; ++number) {
            callers.push_back(std::make_shared<repeating_caller>(
                    *frontLoop, frontSettings.callers, "caller" + std::to_string(number)));
            callers.back()->start(number * interval);
        }
    }

    /// \returns how many requests got a whole response with \a status.
    std::size_t count(unsigned status) const
    {
        std::size_t sum = 0;
        for (const std::shared_ptr<repeating_caller> &caller : callers)
            sum += caller->count(status);
        return sum;
    }

    /// Stops the node of the callers and runs the loop until its process would exit.
    void stopFront()
    {
        front->stop("test");
        boost::asio::steady_timer guard(loop, seconds(10));
        guard.async_wait([this](error_code error) {
            if (!error)
                loop.stop();
        });
        loop.restart();
        loop.run();
        front.reset();
    }

    void runSeparateLoop()
    {
        separateLoop.restart();
        separateLoop.poll();
    }

    /// Runs both nodes, `front` in the separate loop, until a request is running whose caller has
    /// received a response before.
    bool awaitRun(const delayed_server &server)
    {
        const auto step = [this] { runSeparateLoop(); };
        if (!runUntil(
                    loop, [this] { return count(200) > 0; }, step))
            return false;
        const std::size_t started = server.startedIds.size();
        return runUntil(
                loop, [&] { return server.startedIds.size() > started; }, step);
    }

    /// Stops `orders` and runs it until its process would exit. `front` is not run until \a pause
    /// has passed. \returns how long the stop took.
    duration stopOrders(duration pause)
    {
        constexpr seconds limit(10);
        const time_point begin = monotonicNow();
        orders->stop("test");
        loop.restart();
        while (!loop.stopped() && monotonicNow() - begin < limit) {
            loop.run_for(milliseconds(5));
            if (monotonicNow() - begin >= pause)
                runSeparateLoop();
        }
        orders.reset();
        return monotonicNow() - begin;
    }
};

// Guards against requests that a leaving process takes and then closes without a response: with
// callers that cannot use another node, it is never idle before the time limit of its stop. Such
// requests were cut off 5 s after SIGTERM while a server was running them.
TEST_F(sidecar_stop, under_load_every_request_that_a_server_runs_is_answered)
{
    delayed_server server(loop, ordersSettings.backend, milliseconds(300));
    startNodes();
    startCallers(8);
    ASSERT_TRUE(runUntil(loop, [this] { return count(200) >= callers.size(); }));
    stopFront();
    std::vector<std::string> unanswered;
    for (const std::string &id : server.startedIds) {
        const bool answered = std::any_of(callers.begin(), callers.end(),
                                          [&id](const std::shared_ptr<repeating_caller> &caller) {
                                              return caller->statusById.contains(id);
                                          });
        if (!answered)
            unanswered.push_back(id);
    }
    EXPECT_EQ(unanswered, std::vector<std::string>());
    EXPECT_EQ(count(504), 0U) << "a response of the node while the server was still running";
    EXPECT_GT(count(503), 0U);
}

// Guards against a stop that gives up requests at which a server is at work long before the grace
// time of the platform is over. Found by an independent review (LOST).
TEST_F(sidecar_stop, what_a_server_completes_within_the_grace_time_is_answered)
{
    routeTimeout = seconds(10);
    frontSettings.maxStopSeconds = sidecar_settings().maxStopSeconds;
    delayed_server server(loop, ordersSettings.backend, milliseconds(6500));
    startNodes();
    startCallers(2);
    ASSERT_TRUE(runUntil(loop, [&server] { return server.startedIds.size() == 2; }));
    stopFront();
    EXPECT_EQ(count(200), 2U);
}

// Guards against a stop that takes its whole time for a response that nobody waits for: the peer is
// cut off, and the deadline of its request has passed.
TEST_F(sidecar_stop, a_response_whose_request_has_expired_does_not_prolong_the_stop)
{
    frontLoop = &separateLoop;
    routeTimeout = seconds(1);
    delayed_server server(loop, ordersSettings.backend, milliseconds(300));
    startNodes();
    startCallers(1);
    ASSERT_TRUE(awaitRun(server));
    EXPECT_LT(stopOrders(seconds(10)), milliseconds(2500));
}

// Guards against a stop that gives up a peer whose link is interrupted: its caller still waits for
// the response.
TEST_F(sidecar_stop, a_response_is_delivered_to_a_peer_that_is_back_before_the_deadline)
{
    frontLoop = &separateLoop;
    delayed_server server(loop, ordersSettings.backend, milliseconds(300));
    startNodes();
    startCallers(1);
    ASSERT_TRUE(awaitRun(server));
    const std::size_t before = count(200);
    // By then the connection has been given up, and its replacement has not been accepted.
    EXPECT_GT(stopOrders(milliseconds(2200)), milliseconds(2200));
    EXPECT_TRUE(runUntil(separateLoop, [&] { return count(200) > before; }));
}

// Guards against a caller whose connection is closed without a response because the node beside its
// server has ended meanwhile: nobody works on the request any more, so its fate is decided before
// the time limit of the stop.
TEST_F(sidecar_stop, a_request_whose_server_node_has_ended_is_answered_before_the_exit)
{
    delayed_server server(loop, ordersSettings.backend, seconds(20));
    startNodes();
    startCallers(1);
    ASSERT_TRUE(runUntil(loop, [&server] { return !server.startedIds.empty(); }));
    orders.reset();
    stopFront();
    EXPECT_TRUE(callers.front()->statusById.contains(*server.startedIds.begin()));
}

} // namespace
} // namespace tamarackridge
