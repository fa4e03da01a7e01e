#include "sidecar/peer_receiver.h"

#include "sidecar/link_format.h"
#include "wire/frame.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <span>
#include <string_view>
#include <utility>

namespace tamarackridge {
namespace {

using boost::system::error_code;

constexpr std::size_t maxFrameBytes = std::size_t{96} * 1024 * 1024;
// Frames stay in the sender's memory until they are acknowledged.
constexpr std::size_t maxUnacknowledgedBytes = std::size_t{256} * 1024;

} // namespace

peer_receiver::peer_receiver(link_context &context, tcp::socket socket, ended_callback ended)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_ended(std::move(ended))
{ }

void peer_receiver::start()
{
    setKeepAlive(m_socket);
    read();
}

void peer_receiver::close()
{
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
}

void peer_receiver::end()
{
    const std::shared_ptr<peer_receiver> keep = shared_from_this();
    close();
    m_ended(keep);
}

void peer_receiver::read()
{
    m_socket.async_read_some(
            boost::asio::buffer(m_chunk),
            [this, keep = shared_from_this()](error_code error, std::size_t count) {
                if (m_closed)
                    return;
                if (error) {
                    end();
                    return;
                }
                m_input.append(m_chunk.data(), count);
                if (!processInput()) {
                    ++m_context.counts.framesRefused;
                    end();
                    return;
                }
                if (!m_closed)
                    read();
            });
}

bool peer_receiver::processInput()
{
    std::size_t position = 0;
    if (m_senderIncarnation == 0) {
        if (m_input.size() < helloSize)
            return true;
        m_senderIncarnation = readInteger<incarnation_id>(m_input);
        position = helloSize;
        appendInteger(m_context.self.incarnation, m_output);
        m_lastReceived = m_context.received.lastOf(m_senderIncarnation);
        m_lastAcknowledged = m_lastReceived;
        appendInteger(m_lastReceived, m_output);
        sendOutput();
    }
    const time_point now = monotonicNow();
    while (m_input.size() - position >= frameHeaderSize) {
        const std::string_view header(m_input.data() + position, frameHeaderSize);
        const std::size_t size = readInteger<std::uint32_t>(header);
        if (size > maxFrameBytes)
            return false;
        if (m_input.size() - position < frameHeaderSize + size)
            break;
        const std::uint64_t number = readInteger<std::uint64_t>(header.substr(8));
        if (m_context.received.advance(m_senderIncarnation, number, now)) {
            deliver(m_input.substr(position + frameHeaderSize, size),
                    std::chrono::milliseconds(readInteger<std::uint32_t>(header.substr(4))));
        }
        position += frameHeaderSize + size;
    }
    m_input.erase(0, position);
    m_lastReceived = m_context.received.lastOf(m_senderIncarnation);
    m_unacknowledgedBytes += position;
    if (m_unacknowledgedBytes >= maxUnacknowledgedBytes)
        acknowledge();
    return true;
}

void peer_receiver::acknowledge()
{
    if (m_lastReceived == m_lastAcknowledged)
        return;
    m_lastAcknowledged = m_lastReceived;
    m_unacknowledgedBytes = 0;
    ++m_context.counts.acknowledgementsSent;
    appendInteger(m_lastReceived, m_output);
    sendOutput();
}

void peer_receiver::sendOutput()
{
    if (m_output.empty() || m_writing || m_closed)
        return;
    m_writing = true;
    std::shared_ptr<std::string> bytes = std::make_shared<std::string>(std::move(m_output));
    m_output.clear();
    boost::asio::async_write(
            m_socket, boost::asio::buffer(*bytes),
            [this, bytes, keep = shared_from_this()](error_code error, std::size_t) {
                m_writing = false;
                if (!error && !m_closed)
                    sendOutput();
            });
}

void peer_receiver::deliver(const std::string &bytes, duration queueTime)
{
    tl::expected<decoded_frame, error_kind> frame =
            decodePeerMessage(std::as_bytes(std::span(bytes.data(), bytes.size())));
    const bool isForThisProcess = frame
                                  && (frame->header.receiver == 0
                                      || frame->header.receiver == m_context.self.incarnation);
    if (!isForThisProcess) {
        ++m_context.counts.framesRefused;
        return;
    }
    if (dispatch *request = std::get_if<dispatch>(&frame->message)) {
        request->context.deadlineLeft -= queueTime;
        request->context.chainAge += queueTime;
    }
    m_context.callbacks.received(frame->header.sender, std::move(frame->message));
}

} // namespace tamarackridge
