#include "sidecar/peer_sender.h"

#include "sidecar/link_format.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace tamarackridge {
namespace {

using boost::system::error_code;

// Several times the round trip between regions.
constexpr duration connectTimeout = std::chrono::milliseconds(400);
// A peer that takes this long to acknowledge is unreachable, frozen or overloaded: the core then
// sends requests that may be repeated to other nodes.
constexpr duration unresponsiveTimeout = std::chrono::milliseconds(500);
// A peer acknowledges within a round trip; after this time it is assumed to have stopped reading.
constexpr duration acknowledgementTimeout = std::chrono::milliseconds(1500);
constexpr duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr duration maxRetryDelay = std::chrono::milliseconds(800);
// Heartbeats and entries may expire unsent: later ones carry the same state again.
constexpr duration stateTimeToLive = std::chrono::seconds(2);
constexpr std::size_t maxQueuedBytes = std::size_t{16} * 1024 * 1024; ///< For one peer.
constexpr std::size_t maxWriteBytes = std::size_t{128} * 1024;

duration timeToLive(const peer_message &message)
{
    if (const dispatch *request = std::get_if<dispatch>(&message))
        return request->context.deadlineLeft;
    return stateTimeToLive;
}

} // namespace

peer_sender::peer_sender(link_context &context, std::string node, const std::string &endpoint)
    : m_context(context)
    , m_node(std::move(node))
    , m_endpointText(endpoint)
    , m_endpoint(parseSocketAddress(endpoint).value_or(socket_address{"0.0.0.0", 0}).endpoint())
    , m_socket(context.loop)
    , m_retryDelay(initialRetryDelay)
{ }

void peer_sender::send(std::string bytes, const peer_message &message, incarnation_id receiver,
                       std::optional<time_point> expiresAt)
{
    const time_point now = monotonicNow();
    m_queuedBytes += bytes.size();
    frame item;
    item.isResponse = std::holds_alternative<dispatch_response>(message);
    item.number = ++m_context.lastFrameNumber;
    item.receiver = receiver;
    item.queuedAt = now;
    item.expiresAt = expiresAt.value_or(now + timeToLive(message));
    if (const dispatch *request = std::get_if<dispatch>(&message))
        item.id = request->id;
    item.bytes = std::move(bytes);
    m_frames.push_back(std::move(item));
    while (m_queuedBytes > maxQueuedBytes && m_frames.size() > 1)
        dropOldest();
    if (m_open)
        write();
    else if (!m_connecting && now >= m_retryAt)
        connect(now);
}

void peer_sender::sweep(time_point now)
{
    if (m_open) {
        const bool awaitsAcknowledgement =
                !m_frames.empty() && m_frames.front().number <= m_lastWritten;
        if (awaitsAcknowledgement && now - m_progressAt > unresponsiveTimeout)
            reportUnresponsive();
        if (awaitsAcknowledgement && now - m_progressAt > acknowledgementTimeout)
            connectionFailed(now);
        return;
    }
    if (m_connecting) {
        if (now - m_progressAt > connectTimeout)
            connectionFailed(now);
        return;
    }
    expire(now);
    if (!m_frames.empty() && now >= m_retryAt)
        connect(now);
}

void peer_sender::close()
{
    m_closed = true;
    resetConnection();
}

bool peer_sender::awaitsResponseDelivery(time_point now) const
{
    return std::any_of(m_frames.begin(), m_frames.end(), [now](const frame &item) {
        return item.isResponse && item.expiresAt > now;
    });
}

void peer_sender::dropOldest()
{
    m_queuedBytes -= m_frames.front().bytes.size();
    m_frames.pop_front();
    ++m_context.counts.framesExpired;
}

void peer_sender::reportUnresponsive()
{
    if (std::exchange(m_reportedUnresponsive, true))
        return;
    m_context.callbacks.unresponsive(m_node);
}

void peer_sender::returnUnsentDispatches()
{
    std::vector<dispatch_id> unsent;
    std::erase_if(m_frames, [this, &unsent](const frame &item) {
        if (item.id.sequence == 0 || item.number <= m_maxWritten)
            return false;
        unsent.push_back(item.id);
        m_queuedBytes -= item.bytes.size();
        return true;
    });
    const std::string node = m_node;
    link_context &context = m_context;
    for (const dispatch_id &id : unsent)
        context.callbacks.dispatchNotSent(node, id);
}

void peer_sender::resetConnection()
{
    error_code ignored;
    m_socket.close(ignored);
    ++m_connectionNumber;
    m_open = false;
    m_connecting = false;
    m_writing = false;
    m_lastWritten = 0;
    m_input.clear();
}

void peer_sender::connectionFailed(time_point now)
{
    const bool wasOpen = m_open;
    resetConnection();
    m_retryAt = now + m_retryDelay;
    m_retryDelay = std::min(2 * m_retryDelay, maxRetryDelay);
    if (wasOpen) {
        m_context.callbacks.linkChanged(m_node, false);
        return;
    }
    // The first failure after an open connection returns above: one reconnection is tried before
    // unsent dispatches are returned.
    const std::shared_ptr<peer_sender> keep = shared_from_this();
    reportUnresponsive();
    returnUnsentDispatches();
}

void peer_sender::connect(time_point now)
{
    m_connecting = true;
    m_progressAt = now;
    m_socket.async_connect(m_endpoint, [this, keep = shared_from_this(),
                                        connectionNumber = m_connectionNumber](error_code error) {
        if (m_closed || connectionNumber != m_connectionNumber)
            return;
        if (error) {
            connectionFailed(monotonicNow());
            return;
        }
        setKeepAlive(m_socket);
        appendInteger(m_context.self.incarnation, m_output);
        flush();
        read();
    });
}

void peer_sender::read()
{
    m_socket.async_read_some(
            boost::asio::buffer(m_chunk),
            [this, keep = shared_from_this(),
             connectionNumber = m_connectionNumber](error_code error, std::size_t count) {
                if (m_closed || connectionNumber != m_connectionNumber)
                    return;
                if (error) {
                    connectionFailed(monotonicNow());
                    return;
                }
                m_input.append(m_chunk.data(), count);
                processInput();
                if (connectionNumber == m_connectionNumber)
                    read();
            });
}

void peer_sender::processInput()
{
    std::string_view input = m_input;
    if (!m_open) {
        if (input.size() < greetingSize)
            return;
        handleGreeting(readInteger<incarnation_id>(input),
                       readInteger<std::uint64_t>(input.substr(8)));
        input.remove_prefix(greetingSize);
    }
    while (input.size() >= acknowledgementSize) {
        removeAcknowledged(readInteger<std::uint64_t>(input));
        input.remove_prefix(acknowledgementSize);
    }
    m_input = std::string(input);
    write();
}

void peer_sender::handleGreeting(incarnation_id incarnation, std::uint64_t received)
{
    m_open = true;
    m_connecting = false;
    m_retryDelay = initialRetryDelay;
    m_progressAt = monotonicNow();
    const bool restarted = m_peerIncarnation != 0 && m_peerIncarnation != incarnation;
    m_peerIncarnation = incarnation;
    const std::vector<dispatch_id> unsent =
            restarted ? dropFramesForEarlierIncarnation() : std::vector<dispatch_id>();
    m_context.callbacks.linkChanged(m_node, true);
    removeAcknowledged(received);
    const std::shared_ptr<peer_sender> keep = shared_from_this();
    for (const dispatch_id &id : unsent)
        m_context.callbacks.dispatchNotSent(m_node, id);
    if (restarted)
        m_context.callbacks.restarted(m_node, incarnation);
}

std::vector<dispatch_id> peer_sender::dropFramesForEarlierIncarnation()
{
    std::vector<dispatch_id> unsent;
    std::erase_if(m_frames, [this, &unsent](const frame &item) {
        if (item.receiver == 0 || item.receiver == m_peerIncarnation)
            return false;
        if (item.id.sequence != 0 && item.number > m_maxWritten)
            unsent.push_back(item.id);
        m_queuedBytes -= item.bytes.size();
        return true;
    });
    return unsent;
}

void peer_sender::removeAcknowledged(std::uint64_t number)
{
    m_progressAt = monotonicNow();
    m_reportedUnresponsive = false;
    while (!m_frames.empty() && m_frames.front().number <= number) {
        m_queuedBytes -= m_frames.front().bytes.size();
        m_frames.pop_front();
    }
}

void peer_sender::write()
{
    if (!m_open || m_writing)
        return;
    const time_point now = monotonicNow();
    expire(now);
    const auto first = std::upper_bound(
            m_frames.begin(), m_frames.end(), m_lastWritten,
            [](std::uint64_t number, const frame &item) { return number < item.number; });
    if (first == m_frames.begin() && first != m_frames.end())
        m_progressAt = now;
    for (auto item = first; item != m_frames.end() && m_output.size() < maxWriteBytes; ++item) {
        m_lastWritten = item->number;
        m_maxWritten = std::max(m_maxWritten, m_lastWritten);
        const auto queueTime =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - item->queuedAt);
        appendInteger(static_cast<std::uint32_t>(item->bytes.size()), m_output);
        appendInteger(static_cast<std::uint32_t>(queueTime.count()), m_output);
        appendInteger(item->number, m_output);
        m_output.append(item->bytes);
        ++m_context.counts.framesSent;
    }
    flush();
}

void peer_sender::expire(time_point now)
{
    const std::size_t dropped = std::erase_if(m_frames, [this, now](const frame &item) {
        if (item.number <= m_lastWritten || item.expiresAt > now)
            return false;
        m_queuedBytes -= item.bytes.size();
        return true;
    });
    m_context.counts.framesExpired += dropped;
}

void peer_sender::flush()
{
    if (m_output.empty())
        return;
    m_writing = true;
    std::shared_ptr<std::string> bytes = std::make_shared<std::string>(std::move(m_output));
    m_output.clear();
    m_context.counts.bytesSent += bytes->size();
    boost::asio::async_write(
            m_socket, boost::asio::buffer(*bytes),
            [this, bytes, keep = shared_from_this(),
             connectionNumber = m_connectionNumber](error_code error, std::size_t) {
                if (m_closed || connectionNumber != m_connectionNumber)
                    return;
                m_writing = false;
                if (error)
                    connectionFailed(monotonicNow());
                else
                    write();
            });
}

} // namespace tamarackridge
