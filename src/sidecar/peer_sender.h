#pragma once

#include "sidecar/link_context.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace tamarackridge {

/// \brief The sending side of a link to one peer.
///
/// Frames are kept until the peer has acknowledged them, and go over the next connection when one
/// is lost.
class peer_sender : public std::enable_shared_from_this<peer_sender>
{
public:
    peer_sender(link_context &context, std::string node, const std::string &endpoint);

    const std::string &endpoint() const { return m_endpointText; }

    /// \param id of a dispatch; sequence 0 for anything else.
    void send(std::string bytes, incarnation_id receiver, duration timeToLive, dispatch_id id);
    /// \brief Finds out whether the connection went silent, and opens it again when it is time.
    void sweep(time_point now);
    void close();

private:
    struct frame
    {
        std::uint64_t number = 0;
        incarnation_id receiver = 0;
        time_point since;
        time_point until;
        dispatch_id id; ///< Sequence 0 for anything but a dispatch.
        std::string bytes;
    };
    void drop();
    void reportSilence();
    /// Dispatches that no connection carried, not even in part, have certainly not arrived.
    void takeBack();
    void reset();
    void fail(time_point now);
    void connect(time_point now);
    void read();
    void consume();
    void greet(incarnation_id incarnation, std::uint64_t received);
    void acknowledge(std::uint64_t number);
    void write();
    void expire(time_point now);
    void flush();

    link_context &m_context;
    std::string m_node;
    std::string m_endpointText;
    tcp::endpoint m_endpoint;
    tcp::socket m_socket;
    std::deque<frame> m_frames; ///< Not acknowledged, by number.
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_written = 0; ///< Last number written to this connection.
    std::uint64_t m_everWritten = 0; ///< Last number written to any connection.
    std::uint64_t m_session = 0; ///< Tells operations of earlier connections apart.
    incarnation_id m_peerIncarnation = 0;
    time_point m_progressAt;
    time_point m_retryAt;
    duration m_retryPause;
    std::string m_output;
    std::string m_input;
    std::array<char, 1024> m_chunk{};
    bool m_open = false;
    bool m_connecting = false;
    bool m_writing = false;
    bool m_closed = false;
    bool m_silent = false; ///< Reported as silent since the last acknowledgement.
};

} // namespace tamarackridge
