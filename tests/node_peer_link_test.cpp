#include "node/fleet_key.h"
#include "node/peer_link.h"
#include "node/peer_session.h"
#include "process/supervisor.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <deque>

namespace tamarackridge {
namespace {

using std::chrono::milliseconds;

// Queue of the messages that a link has received.
class inbox
{
public:
    struct item
    {
        node_ref from;
        peer_message message;
    };

    peer_link::receiver receiver()
    {
        return [this](const node_ref &from, peer_message message) {
            const std::lock_guard lock(m_mutex);
            m_items.push_back({from, std::move(message)});
            m_filled.notify_one();
        };
    }
    item next()
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait(lock, [this] { return !m_items.empty(); });
        item first = std::move(m_items.front());
        m_items.pop_front();
        return first;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::deque<item> m_items;
};

// A peer_link that runs on a thread, with its received messages and metrics.
struct running_link
{
    running_link(const std::string &name, incarnation_id incarnation, const std::string &endpoint,
                 const key_pair &keys)
        : link({{"zone", name, incarnation}, endpoint, keys.publicKey, keys.secretKey}, metrics,
               received.receiver())
    {
        child_spec spec;
        spec.name = name;
        spec.run = [this](child_context &context) { link.run(context); };
        spec.wake = [this] { link.wake(); };
        threads.add(std::move(spec));
        threads.step(supervisor::clock::now());
    }
    ~running_link() { threads.stop(); }
    running_link(const running_link &) = delete;
    running_link &operator=(const running_link &) = delete;

    inbox received;
    metrics_registry metrics;
    peer_link link;
    supervisor threads;
};

// Each test uses different endpoints, because abstract socket names remain in use until the process
// ends.
std::string endpointOf(const std::string &name)
{
    const testing::TestInfo &test = *testing::UnitTest::GetInstance()->current_test_info();
    return "ipc://@tamarackridge-" + std::to_string(getpid()) + test.name() + name;
}

class node_peer_link : public testing::Test
{
protected:
    key_pair m_keys = newKeyPair();
    running_link m_a{"a", 0xa, endpointOf("a"), m_keys};
    running_link m_b{"b", 0xb, endpointOf("b"), m_keys};
};

// Guards against messages that are lost, arrive out of order or have the wrong sender.
TEST_F(node_peer_link, delivers_messages_in_order)
{
    m_a.link.connect({"b", endpointOf("b")});
    for (std::uint64_t i = 0; i < 100; ++i)
        m_a.link.send({"b", 0xb, dispatch_cancel{{0xa, i}}});
    for (std::uint64_t i = 0; i < 100; ++i) {
        const inbox::item item = m_b.received.next();
        EXPECT_EQ(item.from, (node_ref{"zone", "a", 0xa}));
        EXPECT_EQ(std::get<dispatch_cancel>(item.message).id.sequence, i);
    }
}

// Guards against a new node receiving no response from a seed that does not know its endpoint yet.
TEST_F(node_peer_link, responds_to_a_peer_without_an_outgoing_link)
{
    m_a.link.connect({"b", endpointOf("b")});
    m_a.link.send({"b", 0, config_fetch{1}});
    m_b.received.next();
    m_b.link.send({"a", 0xa, config_state{2, 3, "{}"}});
    EXPECT_EQ(std::get<config_state>(m_a.received.next().message).version, 2);
}

// Guards against running a dispatch that was sent to an earlier incarnation of the receiver.
TEST_F(node_peer_link, rejects_messages_for_another_incarnation)
{
    m_a.link.connect({"b", endpointOf("b")});
    m_a.link.send({"b", 0xbb, dispatch_cancel{{1, 1}}});
    m_a.link.send({"b", 0, dispatch_cancel{{1, 2}}}); // Requires the incarnation.
    m_a.link.send({"b", 0, heartbeat{}}); // Does not require it.
    EXPECT_TRUE(std::holds_alternative<heartbeat>(m_b.received.next().message));
    EXPECT_NE(m_b.metrics.text().find(R"(reason="wrong_receiver"} 2)"), std::string::npos)
            << m_b.metrics.text();
}

// Sends raw frames with the fleet's keys.
class raw_peer
{
public:
    raw_peer(const key_pair &keys, const std::string &serverKey, const std::string &endpoint)
        : m_socket(m_context, zmq::socket_type::dealer)
    {
        m_socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
        m_socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
        m_socket.set(zmq::sockopt::curve_serverkey, serverKey);
        m_socket.set(zmq::sockopt::linger, 0);
        m_socket.connect(endpoint);
    }
    void send(const std::string &bytes) { m_socket.send(zmq::buffer(bytes)); }
    zmq::socket_t &socket() { return m_socket; }

private:
    zmq::context_t m_context;
    zmq::socket_t m_socket;
};

// Guards against applying a frame twice if it arrives twice, and against applying a damaged frame.
TEST_F(node_peer_link, rejects_repeated_and_damaged_frames)
{
    raw_peer peer(m_keys, m_keys.publicKey, endpointOf("b"));
    const frame_header header{{"zone", "c", 0xc}, 0xb, 5};
    const std::string frame = encodePeerMessage(header, config_fetch{1});
    peer.send(frame);
    peer.send(frame);
    peer.send(frame.substr(0, frame.size() - 1));
    peer.send(encodePeerMessage({header.sender, 0xb, 6}, config_fetch{2}));
    EXPECT_EQ(std::get<config_fetch>(m_b.received.next().message).haveVersion, 1);
    EXPECT_EQ(std::get<config_fetch>(m_b.received.next().message).haveVersion, 2);
    const std::string text = m_b.metrics.text();
    EXPECT_NE(text.find(R"(reason="repeated"} 1)"), std::string::npos) << text;
    EXPECT_NE(text.find(R"(reason="frame_invalid"} 1)"), std::string::npos) << text;
}

// Detects that a server has rejected the socket's key.
class refusal_monitor : public zmq::monitor_t
{
public:
    explicit refusal_monitor(zmq::socket_t &socket)
    {
        init(socket, "inproc://refusals", ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
    }
    void await()
    {
        while (!m_refused)
            check_event(100);
    }
    void on_event_handshake_failed_auth(const zmq_event_t &, const char *) override
    {
        m_refused = true;
    }

private:
    bool m_refused = false;
};

// Guards against accepting messages of a peer without the fleet's key pair.
TEST_F(node_peer_link, rejects_other_key_pairs)
{
    const key_pair other = newKeyPair();
    raw_peer unauthorizedPeer(other, m_keys.publicKey, endpointOf("b"));
    refusal_monitor monitor(unauthorizedPeer.socket());
    unauthorizedPeer.send(encodePeerMessage({{"zone", "s", 0x5}, 0xb, 1}, config_fetch{1}));
    monitor.await();
    raw_peer peer(m_keys, m_keys.publicKey, endpointOf("b"));
    peer.send(encodePeerMessage({{"zone", "c", 0xc}, 0xb, 1}, config_fetch{2}));
    EXPECT_EQ(std::get<config_fetch>(m_b.received.next().message).haveVersion, 2);
}

} // namespace
} // namespace tamarackridge
