#pragma once

#include "sidecar/link_context.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarackridge {

/// \brief Receiving side of a link from one peer: acknowledges frames and drops duplicates.
class peer_receiver : public std::enable_shared_from_this<peer_receiver>
{
public:
    using ended_callback = std::function<void(const std::shared_ptr<peer_receiver> &link)>;

    /// \param ended called when the peer or an error ends the connection, but not after close().
    peer_receiver(link_context &context, tcp::socket socket, ended_callback ended);
    void start();
    void close();
    /// \brief Acknowledges the frames that were received since the last acknowledgement.
    void acknowledge();

private:
    static constexpr std::size_t readStep = std::size_t{16} * 1024; ///< Bytes.

    void end();
    void read();
    /// \brief Delivers all complete frames of the input. \returns false when it is malformed.
    bool processInput();
    void sendOutput();
    void deliver(const std::string &bytes, duration queueTime);

    link_context &m_context;
    tcp::socket m_socket;
    ended_callback m_ended;
    incarnation_id m_senderIncarnation = 0;
    std::uint64_t m_lastReceived = 0; ///< Number of the last frame.
    std::uint64_t m_lastAcknowledged = 0;
    std::size_t m_unacknowledgedBytes = 0;
    std::string m_input;
    std::string m_output;
    std::array<char, readStep> m_chunk{};
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace tamarackridge
