#pragma once

#include "sidecar/connection_acceptor.h"
#include "sidecar/link_context.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace tamarackridge {

class peer_receiver;
class peer_sender;

/// \brief Links to the other nodes, over TCP.
///
/// Each node opens one connection to each peer that it sends to. Frames are numbered and kept until
/// the receiver has acknowledged them, so a connection that is reset or goes silent loses and
/// doubles nothing: what was not acknowledged is sent again over the next connection, unless its
/// time has passed, and the receiver drops what it has seen. A frame tells how long the sender held
/// it, by which a dispatch's deadline is shortened.
class peer_network
{
public:
    peer_network(boost::asio::io_context &loop, const socket_address &address, node_ref self,
                 peer_callbacks callbacks);
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;
    ~peer_network();

    void connect(const std::string &node, const std::string &endpoint);
    void disconnect(const std::string &node);
    /// \param receiver incarnation that the message is for; 0 for any.
    void send(const std::string &node, incarnation_id receiver, const peer_message &message);
    /// \brief Finds connections that went silent; called a few times a second.
    void sweep(time_point now);

    const peer_counts &counts() const { return m_context.counts; }

private:
    void receive(tcp::socket socket);

    link_context m_context;
    connection_acceptor m_acceptor;
    std::map<std::string, std::shared_ptr<peer_sender>, std::less<>> m_senders;
    std::unordered_set<std::shared_ptr<peer_receiver>> m_receivers;
};

} // namespace tamarackridge
