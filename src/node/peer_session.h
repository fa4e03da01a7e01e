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

/// \brief The sockets of one run of a peer_link.
class peer_session
{
public:
    using clock = std::chrono::steady_clock;
    /// Receives a frame and the ROUTER identity it came from (empty for a DEALER).
    using frame_handler = std::function<void(zmq::message_t &frame, std::string routingId)>;

    peer_session(const std::string &bind, std::string publicKey, std::string secretKey);

    /// \brief Opens a DEALER to a peer, or replaces the one to another endpoint.
    void connect(const std::string &node, const std::string &endpoint);
    void disconnect(const std::string &node);

    /// \brief Sends a frame over the peer's DEALER; one that can't leave yet waits for a while.
    /// \returns false if there is no DEALER to the peer.
    bool send(const std::string &node, zmq::message_t frame);
    /// \brief Sends a frame over the ROUTER.
    /// \returns false if the identity is not connected any more.
    bool reply(const std::string &routingId, zmq::message_t frame);

    /// \brief Waits for frames or for \a wakeDescriptor, and passes on what arrived.
    void poll(int wakeDescriptor, std::chrono::milliseconds wait, const frame_handler &handle);

private:
    struct waiting_frame
    {
        zmq::message_t frame;
        clock::time_point since;
    };
    struct peer_socket
    {
        std::string endpoint;
        zmq::socket_t socket;
        std::deque<waiting_frame> waiting;
    };

    void protect(zmq::socket_t &socket) const;
    void flush(peer_socket &peer) const;
    void receiveFromRouter(const frame_handler &handle);
    void receiveFromDealer(zmq::socket_t &socket, const frame_handler &handle) const;

    std::string m_publicKey;
    std::string m_secretKey;
    zmq::context_t m_context;
    zap_handler m_zap;
    zmq::socket_t m_router;
    std::map<std::string, std::unique_ptr<peer_socket>> m_dealers;
    std::vector<zmq::pollitem_t> m_items;
    std::vector<peer_socket *> m_polled; // Dealer of each poll item after the fixed ones.
};

} // namespace tamarackridge::internal
