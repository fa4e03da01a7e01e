#pragma once

#include "sidecar/event_loop.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

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
    std::function<void(const std::string &node, const dispatch_id &id)> dispatchNotSent;
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

/// \brief What all links of one process share.
struct link_context
{
    boost::asio::io_context &loop;
    node_ref self;
    peer_callbacks callbacks;
    peer_counts counts;
    std::uint64_t lastNumber = 0; ///< Of all links, so that a link that is opened anew goes on.
    std::unordered_map<incarnation_id, std::uint64_t> received; ///< Last number from each sender.
};

} // namespace tamarackridge
