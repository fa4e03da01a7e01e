#pragma once

#include "sidecar/connection_acceptor.h"
#include "sidecar/link_context.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace tamarackridge {

class peer_receiver;
class peer_sender;

/// \brief Sends messages to the other nodes and receives theirs, over TCP.
///
/// Each node opens one connection to each peer that it sends to. Frames are numbered and kept until
/// the receiver has acknowledged them. When a connection is reset or stops responding,
/// unacknowledged frames that have not expired are sent again over the next connection, and the
/// receiver drops frames that it has already received. So no message is duplicated, and none is
/// lost before it expires. Acknowledgements are delayed, so that one covers several frames. Each
/// frame states how long it was queued at the sender; the receiver
/// subtracts this from a dispatch's deadline.
class peer_network
{
public:
    peer_network(boost::asio::io_context &loop, const socket_address &address, node_ref self,
                 peer_callbacks callbacks);
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;
    ~peer_network();

    /// \brief Sets the endpoint of a peer; replaces the link if the endpoint has changed.
    void connect(const std::string &node, const std::string &endpoint);
    void disconnect(const std::string &node);
    /// \brief Queues a message; drops it if there is no link to \a node.
    /// \param receiver incarnation that the message is for; 0 for any.
    /// \param expiresAt the message is dropped if it has not been written to a connection by then;
    /// if not set, the time depends on the kind of message.
    void send(const std::string &node, incarnation_id receiver, const peer_message &message,
              std::optional<time_point> expiresAt = std::nullopt);
    /// \brief Checks all links for time-outs and reconnects; must be called a few times a second.
    void sweep(time_point now);
    /// \brief Acknowledges what was received since the last call; must be called well within the
    /// 500 ms after which a sender considers this node unresponsive.
    void acknowledge();

    /// \returns whether a response is on its way to a node that may still wait for it; a process
    /// that ends now could cut it off. True also while the link to that node is down.
    bool awaitsResponseDelivery(time_point now) const;

    const peer_counts &counts() const { return m_context.counts; }

private:
    void receive(tcp::socket socket);

    link_context m_context;
    connection_acceptor m_acceptor;
    std::map<std::string, std::shared_ptr<peer_sender>, std::less<>> m_senders;
    std::unordered_set<std::shared_ptr<peer_receiver>> m_receivers;
};

} // namespace tamarackridge
