#include "node/peer_session.h"

namespace tamarackridge::internal {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t maxFrameBytes = std::int64_t{64} << 20;
// A connection is closed if nothing arrives within heartbeatTimeout after a ping. Frames to a peer
// that is cut off are then dropped instead of arriving long after their deadline.
constexpr milliseconds heartbeatInterval{1000};
constexpr milliseconds heartbeatTimeout{2000};
constexpr milliseconds initialReconnectInterval{50};
constexpr milliseconds maxReconnectInterval{2000};
// Time for the last frames of a leaving node to reach its peers.
constexpr milliseconds closeLingerTimeout{1000};
// How long a frame waits for a connection that is being opened, before it is dropped.
constexpr milliseconds queueTimeout{1000};
constexpr std::size_t maxQueuedFrames = 256;
constexpr int maxFramesPerTurn = 64; // Received from one socket before the next one is read.

} // namespace

peer_session::peer_session(const std::string &bind, std::string publicKey, std::string secretKey)
    : m_publicKey(std::move(publicKey))
    , m_secretKey(std::move(secretKey))
    , m_zap(m_context, m_publicKey)
    , m_router(m_context, zmq::socket_type::router)
{
    setCommonOptions(m_router);
    m_router.set(zmq::sockopt::curve_server, true);
    m_router.set(zmq::sockopt::zap_domain, "fleet");
    m_router.set(zmq::sockopt::router_mandatory, true);
    m_router.bind(bind);
}

void peer_session::setCommonOptions(zmq::socket_t &socket) const
{
    socket.set(zmq::sockopt::curve_publickey, m_publicKey);
    socket.set(zmq::sockopt::curve_secretkey, m_secretKey);
    socket.set(zmq::sockopt::maxmsgsize, maxFrameBytes);
    socket.set(zmq::sockopt::linger, static_cast<int>(closeLingerTimeout.count()));
}

void peer_session::connect(const std::string &node, const std::string &endpoint)
{
    const auto found = m_dealers.find(node);
    if (found != m_dealers.end() && found->second->endpoint == endpoint)
        return;
    auto peer = std::make_unique<peer_socket>();
    peer->endpoint = endpoint;
    peer->socket = zmq::socket_t(m_context, zmq::socket_type::dealer);
    setCommonOptions(peer->socket);
    peer->socket.set(zmq::sockopt::curve_serverkey, m_publicKey);
    // Only the connecting side sends pings, which halves the traffic. Each ping contains a time to
    // live, after which the other side closes a dead connection as well.
    peer->socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(heartbeatInterval.count()));
    peer->socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(heartbeatTimeout.count()));
    peer->socket.set(zmq::sockopt::heartbeat_ttl,
                     static_cast<int>((heartbeatInterval + heartbeatTimeout).count()));
    peer->socket.set(zmq::sockopt::immediate, true); // ZeroMQ queues only for open connections.
    peer->socket.set(zmq::sockopt::reconnect_ivl,
                     static_cast<int>(initialReconnectInterval.count()));
    peer->socket.set(zmq::sockopt::reconnect_ivl_max,
                     static_cast<int>(maxReconnectInterval.count()));
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
    if (peer.queue.empty() && peer.socket.send(frame, zmq::send_flags::dontwait))
        return true;
    if (peer.queue.size() == maxQueuedFrames)
        peer.queue.pop_front();
    peer.queue.push_back({std::move(frame), clock::now()});
    return true;
}

void peer_session::sendQueued(peer_socket &peer) const
{
    const clock::time_point now = clock::now();
    while (!peer.queue.empty()) {
        const bool expired = now - peer.queue.front().queuedAt > queueTimeout;
        if (!expired && !peer.socket.send(peer.queue.front().frame, zmq::send_flags::dontwait))
            return;
        peer.queue.pop_front();
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
    m_pollItems = {{nullptr, wakeDescriptor, ZMQ_POLLIN, 0},
                   {m_zap.socket().handle(), 0, ZMQ_POLLIN, 0},
                   {m_router.handle(), 0, ZMQ_POLLIN, 0}};
    const std::size_t firstDealer = m_pollItems.size();
    m_polledDealers.clear();
    for (const auto &[node, peer] : m_dealers) {
        const int events = peer->queue.empty() ? ZMQ_POLLIN : ZMQ_POLLIN | ZMQ_POLLOUT;
        m_pollItems.push_back({peer->socket.handle(), 0, static_cast<short>(events), 0});
        m_polledDealers.push_back(peer.get());
    }
    zmq::poll(m_pollItems, wait);
    if ((m_pollItems[1].revents & ZMQ_POLLIN) != 0)
        m_zap.respondToOne();
    if ((m_pollItems[2].revents & ZMQ_POLLIN) != 0)
        receiveFromRouter(handle);
    for (std::size_t i = firstDealer; i < m_pollItems.size(); ++i) {
        peer_socket &peer = *m_polledDealers[i - firstDealer];
        if ((m_pollItems[i].revents & ZMQ_POLLIN) != 0)
            receiveFromDealer(peer.socket, handle);
        if (!peer.queue.empty())
            sendQueued(peer);
    }
}

void peer_session::receiveFromRouter(const frame_handler &handle)
{
    zmq::message_t identity;
    zmq::message_t frame;
    for (int i = 0; i < maxFramesPerTurn; ++i) {
        if (!m_router.recv(identity, zmq::recv_flags::dontwait))
            return;
        // All parts of a message arrive together. Messages of nodes have exactly two parts, the
        // identity and the frame; a message with further parts is ignored.
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
    for (int i = 0; i < maxFramesPerTurn; ++i) {
        if (!socket.recv(frame, zmq::recv_flags::dontwait))
            return;
        if (!frame.more())
            handle(frame, {});
    }
}

} // namespace tamarackridge::internal
