#include "fakes/loop_runner.h"
#include "sidecar/peer_network.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::runUntil;

/// Proxy that forwards connections to an address; can reset them or stop forwarding their bytes.
class link_proxy
{
public:
    link_proxy(boost::asio::io_context &loop, const socket_address &from, socket_address to)
        : m_loop(loop)
        , m_to(std::move(to))
        , m_acceptor(loop, from.endpoint())
    {
        accept();
    }

    void resetAll()
    {
        for (const std::shared_ptr<pair> &item : m_pairs) {
            boost::system::error_code ignored;
            item->front.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            item->back.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            item->front.close(ignored);
            item->back.close(ignored);
        }
        m_pairs.clear();
    }
    /// Discards all further bytes of the current connections, which stay open.
    void stopForwarding() { ++m_generation; }

private:
    struct pair
    {
        explicit pair(boost::asio::io_context &loop)
            : front(loop)
            , back(loop)
        { }
        tcp::socket front;
        tcp::socket back;
        std::array<std::array<char, 4096>, 2> chunks{};
        int generation = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            const std::shared_ptr<pair> item = std::make_shared<pair>(m_loop);
            item->front = std::move(socket);
            item->generation = m_generation;
            item->back.connect(m_to.endpoint());
            m_pairs.push_back(item);
            forward(item, item->front, item->back, 0);
            forward(item, item->back, item->front, 1);
            accept();
        });
    }

    void forward(const std::shared_ptr<pair> &item, tcp::socket &from, tcp::socket &to,
                 std::size_t side)
    {
        from.async_read_some(
                boost::asio::buffer(item->chunks.at(side)),
                [this, item, &from, &to, side](boost::system::error_code error, std::size_t count) {
                    if (error)
                        return;
                    boost::system::error_code ignored;
                    if (item->generation == m_generation)
                        boost::asio::write(to, boost::asio::buffer(item->chunks.at(side), count),
                                           ignored);
                    forward(item, from, to, side);
                });
    }

    boost::asio::io_context &m_loop;
    socket_address m_to;
    tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<pair>> m_pairs;
    int m_generation = 0;
};

/// A peer_network that records what its callbacks report.
struct endpoint
{
    endpoint(boost::asio::io_context &loop, const std::string &name, incarnation_id incarnation,
             const socket_address &address)
        : self{"zone", name, incarnation}
    {
        peer_callbacks callbacks;
        callbacks.received = [this](const node_ref &, peer_message message) {
            if (const config_fetch *fetch = std::get_if<config_fetch>(&message))
                receivedVersions.push_back(fetch->haveVersion);
            if (const dispatch *request = std::get_if<dispatch>(&message))
                receivedDeadlines.push_back(request->context.deadlineLeft);
            receivedResponses += std::holds_alternative<dispatch_response>(message);
        };
        callbacks.restarted = [this](const std::string &node, incarnation_id) {
            restarted.push_back(node);
        };
        callbacks.unresponsive = [this](const std::string &node) { unresponsive.push_back(node); };
        callbacks.dispatchNotSent = [this](const std::string &, const dispatch_id &id) {
            dispatchNotSent.push_back(id.sequence);
        };
        callbacks.linkChanged = [this](const std::string &, bool open) { linkLosses += !open; };
        network = std::make_unique<peer_network>(loop, address, self, std::move(callbacks));
    }

    node_ref self;
    std::unique_ptr<peer_network> network;
    std::vector<std::int64_t> receivedVersions;
    std::vector<duration> receivedDeadlines;
    int receivedResponses = 0;
    std::vector<std::string> restarted;
    std::vector<std::string> unresponsive;
    std::vector<std::uint64_t> dispatchNotSent;
    int linkLosses = 0;
};

dispatch requestOf(std::uint64_t sequence)
{
    dispatch request;
    request.id = {1, sequence};
    request.context.deadlineLeft = std::chrono::seconds(5);
    return request;
}

struct sidecar_peer_network : testing::Test
{
    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    socket_address proxyAddress = fakes::freeAddress();
    std::unique_ptr<endpoint> sender =
            std::make_unique<endpoint>(loop, "s", 11, fakes::freeAddress());
    std::unique_ptr<endpoint> receiver = std::make_unique<endpoint>(loop, "r", 22, address);

    bool run(const std::function<bool()> &done)
    {
        return runUntil(loop, done, [this] {
            sender->network->sweep(monotonicNow());
            if (receiver) {
                receiver->network->sweep(monotonicNow());
                receiver->network->acknowledge();
            }
        });
    }
    void send(std::int64_t number) { sender->network->send("r", 0, config_fetch{number}); }
};

// Guards against messages that are lost or duplicated when connections are reset.
TEST_F(sidecar_peer_network, connection_resets_do_not_lose_duplicate_or_reorder_messages)
{
    link_proxy proxy(loop, proxyAddress, address);
    sender->network->connect("r", proxyAddress.text());
    std::vector<std::int64_t> expected;
    for (std::int64_t number = 0; number < 400; ++number) {
        send(number);
        expected.push_back(number);
        if (number % 40 == 20) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(1));
            proxy.resetAll();
        }
    }
    EXPECT_TRUE(run([&] { return receiver->receivedVersions.size() >= expected.size(); }));
    EXPECT_EQ(receiver->receivedVersions, expected);
}

// Guards against a packet in return for each message, which costs as much as the message itself.
TEST_F(sidecar_peer_network, one_acknowledgement_covers_the_frames_between_two_calls)
{
    sender->network->connect("r", address.text());
    send(0);
    ASSERT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
    const std::uint64_t before = receiver->network->counts().acknowledgementsSent;
    constexpr std::size_t frames = 50;
    for (std::size_t number = 1; number <= frames; ++number) {
        send(static_cast<std::int64_t>(number));
        loop.restart();
        loop.run_for(std::chrono::milliseconds(1));
    }
    ASSERT_TRUE(runUntil(loop, [&] { return receiver->receivedVersions.size() == frames + 1; }));
    EXPECT_EQ(receiver->network->counts().acknowledgementsSent, before);
    receiver->network->acknowledge();
    EXPECT_EQ(receiver->network->counts().acknowledgementsSent, before + 1);
}

// Guards against memory that grows with the delay of acknowledgements: large frames are
// acknowledged without waiting for the next call.
TEST_F(sidecar_peer_network, large_frames_are_acknowledged_immediately)
{
    sender->network->connect("r", address.text());
    dispatch request = requestOf(5);
    request.request.body = std::make_shared<const std::string>(512 * 1024, 'b');
    sender->network->send("r", 0, request);
    ASSERT_TRUE(runUntil(loop, [&] { return receiver->receivedDeadlines.size() == 1; }));
    EXPECT_EQ(receiver->network->counts().acknowledgementsSent, 1U);
}

// Guards against a planned stop that ends the process while a response is on its way to a peer:
// closing a connection with unread acknowledgements resets it, and the response is lost.
TEST_F(sidecar_peer_network, a_response_is_on_its_way_until_the_peer_acknowledges_it)
{
    sender->network->connect("r", address.text());
    sender->network->send("r", 0, heartbeat{});
    EXPECT_FALSE(sender->network->awaitsResponseDelivery(monotonicNow()));
    sender->network->send("r", 0, dispatch_response{});
    loop.restart();
    loop.run_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(sender->network->awaitsResponseDelivery(monotonicNow()));
    EXPECT_TRUE(run([&] { return !sender->network->awaitsResponseDelivery(monotonicNow()); }));
}

// Guards against a planned stop that waits for a response that nobody needs, and against sending
// it: the receiver has given up by then.
TEST_F(sidecar_peer_network, an_expired_response_is_neither_awaited_nor_sent)
{
    receiver.reset();
    sender->network->connect("r", address.text());
    const time_point expiresAt = monotonicNow() + std::chrono::milliseconds(200);
    sender->network->send("r", 0, dispatch_response{}, expiresAt);
    EXPECT_TRUE(sender->network->awaitsResponseDelivery(monotonicNow()));
    EXPECT_TRUE(run([&] { return !sender->network->awaitsResponseDelivery(monotonicNow()); }));
    EXPECT_GE(monotonicNow(), expiresAt);
    EXPECT_LT(monotonicNow(), expiresAt + std::chrono::seconds(1));
    receiver = std::make_unique<endpoint>(loop, "r", 22, address);
    send(1);
    EXPECT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
    EXPECT_EQ(receiver->receivedResponses, 0);
}

// Guards against a planned stop that gives up a peer whose link is down for a moment.
TEST_F(sidecar_peer_network, a_response_is_awaited_and_delivered_when_the_link_is_replaced)
{
    std::unique_ptr<link_proxy> proxy = std::make_unique<link_proxy>(loop, proxyAddress, address);
    sender->network->connect("r", proxyAddress.text());
    send(1);
    ASSERT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
    proxy->resetAll();
    proxy.reset();
    ASSERT_TRUE(run([&] { return sender->linkLosses == 1; }));
    const time_point expiresAt = monotonicNow() + std::chrono::seconds(8);
    sender->network->send("r", 0, dispatch_response{}, expiresAt);
    ASSERT_TRUE(run([&] { return !sender->unresponsive.empty(); }));
    EXPECT_TRUE(sender->network->awaitsResponseDelivery(monotonicNow()));
    link_proxy replacement(loop, proxyAddress, address);
    EXPECT_TRUE(run([&] { return !sender->network->awaitsResponseDelivery(monotonicNow()); }));
    EXPECT_EQ(receiver->receivedResponses, 1);
}

// Guards against a link that hangs forever because its connection stops responding without a reset.
TEST_F(sidecar_peer_network, an_unresponsive_connection_is_reported_and_replaced)
{
    link_proxy proxy(loop, proxyAddress, address);
    sender->network->connect("r", proxyAddress.text());
    send(1);
    ASSERT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
    proxy.stopForwarding();
    send(2);
    EXPECT_TRUE(run([&] { return receiver->receivedVersions.size() == 2; }));
    EXPECT_EQ(sender->unresponsive, std::vector<std::string>{"r"});
}

// Guards against a request that runs although its sender reported that it did not: a request that
// was returned as unsent must never be sent later.
TEST_F(sidecar_peer_network, unsent_requests_for_an_unreachable_peer_are_returned)
{
    const socket_address unusedAddress = fakes::freeAddress();
    sender->network->connect("r", unusedAddress.text());
    sender->network->send("r", 22, requestOf(7));
    EXPECT_TRUE(run([&] { return !sender->dispatchNotSent.empty(); }));
    EXPECT_EQ(sender->dispatchNotSent, std::vector<std::uint64_t>{7});
    endpoint late(loop, "r", 22, unusedAddress);
    send(1);
    EXPECT_TRUE(run([&] { return !late.receivedVersions.empty(); }));
    EXPECT_TRUE(late.receivedDeadlines.empty());
}

// Guards against a restarted peer that runs requests addressed to its earlier incarnation.
TEST_F(sidecar_peer_network, frames_for_an_earlier_incarnation_are_not_delivered_to_the_next)
{
    sender->network->connect("r", address.text());
    send(1);
    ASSERT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
    receiver.reset();
    sender->network->send("r", 22, requestOf(8));
    receiver = std::make_unique<endpoint>(loop, "r", 33, address);
    send(2);
    EXPECT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
    EXPECT_TRUE(receiver->receivedDeadlines.empty());
    EXPECT_EQ(sender->restarted, std::vector<std::string>{"r"});
}

// Guards against a caller that waits until its deadline, and is told that its request may have run,
// although no byte of the request was sent: the peer restarted while the request was queued.
TEST_F(sidecar_peer_network, requests_queued_for_an_earlier_incarnation_are_returned_as_unsent)
{
    sender->network->connect("r", address.text());
    send(1);
    ASSERT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
    receiver.reset();
    ASSERT_TRUE(run([&] { return sender->linkLosses == 1; }));
    sender->network->send("r", 22, requestOf(8));
    receiver = std::make_unique<endpoint>(loop, "r", 33, address);
    EXPECT_TRUE(run([&] { return !sender->dispatchNotSent.empty(); }));
    EXPECT_EQ(sender->dispatchNotSent, std::vector<std::uint64_t>{8});
    EXPECT_TRUE(receiver->receivedDeadlines.empty());
}

// Guards against giving a server more time than the caller has left: the time that a dispatch was
// queued at the sender must be subtracted from its deadline.
TEST_F(sidecar_peer_network, time_in_the_queue_shortens_the_deadline)
{
    receiver.reset();
    sender->network->connect("r", address.text());
    sender->network->send("r", 0, heartbeat{});
    dispatch request = requestOf(9);
    // The dispatch is sent after the first failed connection attempt, which would have returned it
    // as unsent, and stays queued until the next attempt.
    ASSERT_TRUE(run([&] { return !sender->unresponsive.empty(); }));
    receiver = std::make_unique<endpoint>(loop, "r", 22, address);
    sender->network->send("r", 22, request);
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
    EXPECT_TRUE(run([&] { return !receiver->receivedDeadlines.empty(); }));
    ASSERT_EQ(receiver->receivedDeadlines.size(), 1U);
    EXPECT_LT(receiver->receivedDeadlines[0], std::chrono::milliseconds(4900));
}

// Guards against a process that ends when it receives malformed bytes.
TEST_F(sidecar_peer_network, malformed_bytes_end_only_their_connection)
{
    tcp::socket stranger(loop);
    stranger.connect(address.endpoint());
    boost::asio::write(stranger,
                       boost::asio::buffer(std::string(8, 'x') + std::string(64, '\xff')));
    EXPECT_TRUE(run([&] { return receiver->network->counts().framesRefused == 1; }));
    sender->network->connect("r", address.text());
    send(5);
    EXPECT_TRUE(run([&] { return receiver->receivedVersions.size() == 1; }));
}

} // namespace
} // namespace tamarackridge
