#include "node/peer_session.h"

namespace tamarackridge::internal {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t maxFrameBytes = std::int64_t{64} << 20;
// A link without any traffic for this long is closed, so that frames to a peer that is cut off are
// dropped instead of arriving long after their deadline.
constexpr milliseconds heartbeatEvery{1000};
constexpr milliseconds heartbeatTimeout{2000};
constexpr milliseconds reconnectFirst{50};
constexpr milliseconds reconnectLongest{2000};
constexpr milliseconds closeLinger{1000}; // Lets the last frames of a leaving node reach its peers.
constexpr milliseconds longestWaiting{1000}; // For a link that is being opened.
constexpr std::size_t mostWaiting = 256;
constexpr int framesAtOnce = 64; // Received from one socket before the others get their turn.

} // namespace

peer_session::peer_session(const std::string &bind, std::string publicKey, std::string secretKey)
    : m_publicKey(std::move(publicKey))
    , m_secretKey(std::move(secretKey))
    , m_zap(m_context, m_publicKey)
    , m_router(m_context, zmq::socket_type::router)
{
    protect(m_router);
    m_router.set(zmq::sockopt::curve_server, true);
    m_router.set(zmq::sockopt::zap_domain, "fleet");
    m_router.set(zmq::sockopt::router_mandatory, true);
    m_router.bind(bind);
}

void peer_session::protect(zmq::socket_t &socket) const
{
    socket.set(zmq::sockopt::curve_publickey, m_publicKey);
    socket.set(zmq::sockopt::curve_secretkey, m_secretKey);
    socket.set(zmq::sockopt::maxmsgsize, maxFrameBytes);
    socket.set(zmq::sockopt::linger, static_cast<int>(closeLinger.count()));
}

void peer_session::connect(const std::string &node, const std::string &endpoint)
{
    const auto found = m_dealers.find(node);
    if (found != m_dealers.end() && found->second->endpoint == endpoint)
        return;
    auto peer = std::make_unique<peer_socket>();
    peer->endpoint = endpoint;
    peer->socket = zmq::socket_t(m_context, zmq::socket_type::dealer);
    protect(peer->socket);
    peer->socket.set(zmq::sockopt::curve_serverkey, m_publicKey);
    // Only the connecting side sends pings; the time to live in them lets the other side notice a
    // dead link as well, for half the traffic.
    peer->socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(heartbeatEvery.count()));
    peer->socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(heartbeatTimeout.count()));
    peer->socket.set(zmq::sockopt::heartbeat_ttl,
                     static_cast<int>((heartbeatEvery + heartbeatTimeout).count()));
    peer->socket.set(zmq::sockopt::immediate, true); // Queue only for links that are open.
    peer->socket.set(zmq::sockopt::reconnect_ivl, static_cast<int>(reconnectFirst.count()));
    peer->socket.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(reconnectLongest.count()));
    peer->socket.connect(endpoint);
    m_dealers.insert_or_assign(node, std::move(peer));
}

void peer_session::disconnect(const std::string &node)
{
    m_dealers.erase(node);
}

bool peer_session::send(const std::string &node, zmq::message_t frame)
{
    const auto found = m_dealers.find(node);
    if (found == m_dealers.end())
        return false;
    peer_socket &peer = *found->second;
    if (peer.waiting.empty() && peer.socket.send(frame, zmq::send_flags::dontwait))
        return true;
    if (peer.waiting.size() == mostWaiting)
        peer.waiting.pop_front();
    peer.waiting.push_back({std::move(frame), clock::now()});
    return true;
}

void peer_session::flush(peer_socket &peer) const
{
    const clock::time_point now = clock::now();
    while (!peer.waiting.empty()) {
        const bool expired = now - peer.waiting.front().since > longestWaiting;
        if (!expired && !peer.socket.send(peer.waiting.front().frame, zmq::send_flags::dontwait))
            return;
        peer.waiting.pop_front();
    }
}

bool peer_session::reply(const std::string &routingId, zmq::message_t frame)
{
    try {
        const zmq::send_flags flags = zmq::send_flags::dontwait;
        return m_router.send(zmq::buffer(routingId), flags | zmq::send_flags::sndmore).has_value()
               && m_router.send(frame, flags).has_value();
    } catch (const zmq::error_t &error) {
        if (error.num() == EHOSTUNREACH)
            return false;
        throw;
    }
}

void peer_session::poll(int wakeDescriptor, milliseconds wait, const frame_handler &handle)
{
    m_items = {{nullptr, wakeDescriptor, ZMQ_POLLIN, 0},
               {m_zap.socket().handle(), 0, ZMQ_POLLIN, 0},
               {m_router.handle(), 0, ZMQ_POLLIN, 0}};
    const std::size_t fixed = m_items.size();
    m_polled.clear();
    for (const auto &[node, peer] : m_dealers) {
        const int events = peer->waiting.empty() ? ZMQ_POLLIN : ZMQ_POLLIN | ZMQ_POLLOUT;
        m_items.push_back({peer->socket.handle(), 0, static_cast<short>(events), 0});
        m_polled.push_back(peer.get());
    }
    zmq::poll(m_items, wait);
    if ((m_items[1].revents & ZMQ_POLLIN) != 0)
        m_zap.respondToOne();
    if ((m_items[2].revents & ZMQ_POLLIN) != 0)
        receiveFromRouter(handle);
    for (std::size_t i = fixed; i < m_items.size(); ++i) {
        peer_socket &peer = *m_polled[i - fixed];
        if ((m_items[i].revents & ZMQ_POLLIN) != 0)
            receiveFromDealer(peer.socket, handle);
        if (!peer.waiting.empty())
            flush(peer);
    }
}

void peer_session::receiveFromRouter(const frame_handler &handle)
{
    zmq::message_t identity;
    zmq::message_t frame;
    for (int i = 0; i < framesAtOnce; ++i) {
        if (!m_router.recv(identity, zmq::recv_flags::dontwait))
            return;
        // The parts of one message arrive together; parts beyond the second are not ours.
        bool more = identity.more();
        for (int part = 0; more; ++part) {
            if (!m_router.recv(frame, zmq::recv_flags::dontwait))
                return;
            more = frame.more();
            if (part == 0 && !more)
                handle(frame, identity.to_string());
        }
    }
}

void peer_session::receiveFromDealer(zmq::socket_t &socket, const frame_handler &handle) const
{
    zmq::message_t frame;
    for (int i = 0; i < framesAtOnce; ++i) {
        if (!socket.recv(frame, zmq::recv_flags::dontwait))
            return;
        if (!frame.more())
            handle(frame, {});
    }
}

} // namespace tamarackridge::internal
