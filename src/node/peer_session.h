#pragma once

#include "node/zap_handler.h"

#include <zmq.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarackridge::internal {

/// \brief The ZeroMQ sockets that peer_link uses during one call of run().
class peer_session
{
public:
    using clock = std::chrono::steady_clock;
    /// Receives a frame and the ROUTER identity of its sender (empty if a DEALER received it).
    using frame_handler = std::function<void(zmq::message_t &frame, std::string routingId)>;

    peer_session(const std::string &bind, std::string publicKey, std::string secretKey);

    /// \brief Opens a DEALER to a peer; replaces an existing one if the endpoint has changed.
    void connect(const std::string &node, const std::string &endpoint);
    void disconnect(const std::string &node);

    /// \brief Sends a frame over the peer's DEALER, or queues it for a short time if the connection
    /// is not ready.
    /// \returns false if there is no DEALER to the peer.
    bool send(const std::string &node, zmq::message_t frame);
    /// \brief Sends a frame over the ROUTER.
    /// \returns false if the peer with this identity is no longer connected.
    bool reply(const std::string &routingId, zmq::message_t frame);

    /// \brief Waits for at most \a wait until frames arrive or \a wakeDescriptor becomes readable,
    /// and passes the received frames to \a handle.
    void poll(int wakeDescriptor, std::chrono::milliseconds wait, const frame_handler &handle);

private:
    struct queued_frame
    {
        zmq::message_t frame;
        clock::time_point queuedAt;
    };
    struct peer_socket
    {
        std::string endpoint;
        zmq::socket_t socket;
        std::deque<queued_frame> queue;
    };

    void setCommonOptions(zmq::socket_t &socket) const;
    void sendQueued(peer_socket &peer) const;
    void receiveFromRouter(const frame_handler &handle);
    void receiveFromDealer(zmq::socket_t &socket, const frame_handler &handle) const;

    std::string m_publicKey;
    std::string m_secretKey;
    zmq::context_t m_context;
    zap_handler m_zap;
    zmq::socket_t m_router;
    std::map<std::string, std::unique_ptr<peer_socket>> m_dealers;
    std::vector<zmq::pollitem_t> m_pollItems;
    std::vector<peer_socket *> m_polledDealers; // The DEALERs among m_pollItems, in their order.
};

} // namespace tamarackridge::internal
