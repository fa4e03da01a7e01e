#pragma once

#include "sidecar/event_loop.h"
#include "sidecar/received_frames.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <functional>
#include <string>

namespace tamarackridge {

/// \brief Callbacks for events on the links to peers.
struct peer_callbacks
{
    std::function<void(const node_ref &from, peer_message message)> received;
    /// The peer has restarted: a connection to \a incarnation was opened. Frames that the earlier
    /// incarnation had not read are lost.
    std::function<void(const std::string &node, incarnation_id incarnation)> restarted;
    /// The peer has not acknowledged a frame in time, or a connection attempt failed.
    std::function<void(const std::string &node)> unresponsive;
    /// A dispatch was removed from the queue before any byte of it was sent.
    std::function<void(const std::string &node, const dispatch_id &id)> dispatchNotSent;
    /// The connection to a peer was opened or lost; for the log.
    std::function<void(const std::string &node, bool open)> linkChanged;
};

/// \brief Frame and byte counts over all links of this process.
struct peer_counts
{
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesExpired = 0; ///< Dropped when they expired or the queue was full.
    std::uint64_t framesRefused = 0; ///< Received, but malformed or for another incarnation.
    std::uint64_t acknowledgementsSent = 0;
};

/// \brief State that all links of one process share.
struct link_context
{
    boost::asio::io_context &loop;
    node_ref self;
    peer_callbacks callbacks;
    peer_counts counts;
    /// Over all links, so that numbers keep rising when a link is replaced.
    std::uint64_t lastFrameNumber = 0;
    received_frames received;
};

} // namespace tamarackridge
