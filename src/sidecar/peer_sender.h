#pragma once

#include "sidecar/link_context.h"
#include "tamarackridge/src/node/peer_message.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Sending side of a link to one peer.
///
/// Keeps frames until the peer has acknowledged them, and sends them again over the next connection
/// when a connection is lost.
class peer_sender : public std::enable_shared_from_this<peer_sender>
{
public:
    peer_sender(link_context &context, std::string node, const std::string &endpoint);

    const std::string &endpoint() const { return m_endpointText; }

    /// \brief Queues the frame of \a message, which expires unless it is written in time.
    /// \param bytes the encoded message.
    /// \param expiresAt if not set, the time depends on the kind of message.
    void send(std::string bytes, const peer_message &message, incarnation_id receiver,
              std::optional<time_point> expiresAt);
    /// \brief Checks the connection for time-outs, and reconnects after the retry delay.
    void sweep(time_point now);
    void close();
    /// \returns whether a response that has not expired is queued or not acknowledged yet.
    bool awaitsResponseDelivery(time_point now) const;

private:
    struct frame
    {
        bool isResponse = false;
        std::uint64_t number = 0;
        incarnation_id receiver = 0;
        time_point queuedAt;
        time_point expiresAt;
        dispatch_id id; ///< Sequence 0 for any message other than a dispatch.
        std::string bytes;
    };
    void dropOldest();
    void reportUnresponsive();
    /// \brief Removes dispatches of which no byte was written to any connection, and reports them
    /// as not sent: they can't have reached the peer.
    void returnUnsentDispatches();
    /// \brief Drops the frames that the present incarnation of the peer would refuse.
    /// \returns the dispatches among them of which no byte was written to any connection.
    std::vector<dispatch_id> dropFramesForEarlierIncarnation();
    void resetConnection();
    void connectionFailed(time_point now);
    void connect(time_point now);
    void read();
    void processInput();
    void handleGreeting(incarnation_id incarnation, std::uint64_t received);
    void removeAcknowledged(std::uint64_t number);
    void write();
    void expire(time_point now);
    void flush();

    link_context &m_context;
    std::string m_node;
    std::string m_endpointText;
    tcp::endpoint m_endpoint;
    tcp::socket m_socket;
    std::deque<frame> m_frames; ///< Unacknowledged frames, ordered by number.
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_lastWritten = 0; ///< Number of the last frame written to this connection.
    std::uint64_t m_maxWritten = 0; ///< Highest frame number written to any connection.
    std::uint64_t m_connectionNumber = 0; ///< Lets handlers ignore earlier connections' events.
    incarnation_id m_peerIncarnation = 0;
    time_point m_progressAt; ///< Start of the current connect or acknowledgement time-out.
    time_point m_retryAt; ///< No reconnection before this time.
    duration m_retryDelay;
    std::string m_output;
    std::string m_input;
    std::array<char, 1024> m_chunk{};
    bool m_open = false;
    bool m_connecting = false;
    bool m_writing = false;
    bool m_closed = false;
    bool m_reportedUnresponsive = false; ///< Since the last acknowledgement.
};

} // namespace tamarackridge
