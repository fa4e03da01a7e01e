#pragma once

#include "sidecar/event_loop.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/node/peer_message.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace tamarackridge {

/// \brief What happens on the links to peers.
struct peer_callbacks
{
    std::function<void(const node_ref &from, peer_message message)> received;
    /// The process behind a link is another one than before; what it had not read is lost.
    std::function<void(const std::string &node)> restarted;
    /// A peer has not acknowledged a frame for a while.
    std::function<void(const std::string &node)> silent;
    /// A dispatch was taken back before any byte of it was sent.
    std::function<void(const std::string &node, const dispatch_id &id)> undelivered;
    /// A link was opened or lost, for the log.
    std::function<void(const std::string &node, bool open)> changed;
};

/// \brief Counts of one process's links.
struct peer_counts
{
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesExpired = 0; ///< Dropped unsent, or unacknowledged, past their time.
    std::uint64_t framesRefused = 0; ///< Received, but malformed or for another process.
};

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
    void send(const std::string &node, incarnation receiver, const peer_message &message);
    /// \brief Finds connections that went silent; called a few times a second.
    void sweep(time_point now);

    const peer_counts &counts() const { return m_counts; }

private:
    class outgoing;
    class incoming;

    void accept();
    void deliver(const std::string &bytes, duration held);

    boost::asio::io_context &m_loop;
    node_ref m_self;
    peer_callbacks m_callbacks;
    peer_counts m_counts;
    std::uint64_t m_lastNumber = 0; ///< Of all links, so that a link that is opened anew goes on.
    tcp::acceptor m_acceptor;
    std::map<std::string, std::shared_ptr<outgoing>, std::less<>> m_outgoing;
    std::unordered_set<std::shared_ptr<incoming>> m_incoming;
    std::unordered_map<incarnation, std::uint64_t> m_received; ///< Last number from each sender.
};

} // namespace tamarackridge
