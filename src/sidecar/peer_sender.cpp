#include "sidecar/peer_sender.h"

#include "sidecar/link_format.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

namespace tamarackridge {
namespace {

using boost::system::error_code;

// Several times the round trip between regions.
constexpr duration connectTime = std::chrono::milliseconds(400);
// A peer that takes this long to acknowledge is cut off, frozen or far behind: requests that may be
// repeated are sent elsewhere.
constexpr duration silenceTime = std::chrono::milliseconds(500);
// A peer acknowledges within a round trip; one that takes this long does not read any more.
constexpr duration acknowledgeTime = std::chrono::milliseconds(1500);
constexpr duration firstRetry = std::chrono::milliseconds(50);
constexpr duration longestRetry = std::chrono::milliseconds(800);
constexpr std::size_t mostQueuedBytes = std::size_t{16} * 1024 * 1024; ///< For one peer.
constexpr std::size_t mostWriteBytes = std::size_t{128} * 1024;

tcp::endpoint parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string_view::npos)
        return {};
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    error_code error;
    const boost::asio::ip::address address =
            boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    return error ? tcp::endpoint() : tcp::endpoint(address, port);
}

} // namespace

peer_sender::peer_sender(link_context &context, std::string node, const std::string &endpoint)
    : m_context(context)
    , m_node(std::move(node))
    , m_endpointText(endpoint)
    , m_endpoint(parseEndpoint(endpoint))
    , m_socket(context.loop)
    , m_retryPause(firstRetry)
{ }

void peer_sender::send(std::string bytes, incarnation_id receiver, duration timeToLive,
                       dispatch_id id)
{
    const time_point now = monotonicNow();
    m_queuedBytes += bytes.size();
    m_frames.push_back(
            {++m_context.lastNumber, receiver, now, now + timeToLive, id, std::move(bytes)});
    while (m_queuedBytes > mostQueuedBytes && m_frames.size() > 1)
        drop();
    if (m_open)
        write();
    else if (!m_connecting && now >= m_retryAt)
        connect(now);
}

void peer_sender::sweep(time_point now)
{
    if (m_open) {
        const bool waits = !m_frames.empty() && m_frames.front().number <= m_written;
        if (waits && now - m_progressAt > silenceTime)
            reportSilence();
        if (waits && now - m_progressAt > acknowledgeTime)
            fail(now);
        return;
    }
    if (m_connecting) {
        if (now - m_progressAt > connectTime)
            fail(now);
        return;
    }
    expire(now);
    if (!m_frames.empty() && now >= m_retryAt)
        connect(now);
}

void peer_sender::close()
{
    m_closed = true;
    reset();
}

void peer_sender::drop()
{
    m_queuedBytes -= m_frames.front().bytes.size();
    m_frames.pop_front();
    ++m_context.counts.framesExpired;
}

void peer_sender::reportSilence()
{
    if (std::exchange(m_silent, true))
        return;
    m_context.callbacks.silent(m_node);
}

void peer_sender::takeBack()
{
    std::vector<dispatch_id> unsent;
    std::erase_if(m_frames, [this, &unsent](const frame &item) {
        if (item.id.sequence == 0 || item.number <= m_everWritten)
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

void peer_sender::reset()
{
    error_code ignored;
    m_socket.close(ignored);
    ++m_session;
    m_open = false;
    m_connecting = false;
    m_writing = false;
    m_written = 0;
    m_input.clear();
}

void peer_sender::fail(time_point now)
{
    const bool wasOpen = m_open;
    reset();
    m_retryAt = now + m_retryPause;
    m_retryPause = std::min(2 * m_retryPause, longestRetry);
    if (wasOpen) {
        m_context.callbacks.changed(m_node, false);
        return;
    }
    // A link that was lost is tried once more before its requests are given back.
    const std::shared_ptr<peer_sender> keep = shared_from_this();
    reportSilence();
    takeBack();
}

void peer_sender::connect(time_point now)
{
    m_connecting = true;
    m_progressAt = now;
    m_socket.async_connect(
            m_endpoint, [this, keep = shared_from_this(), session = m_session](error_code error) {
                if (m_closed || session != m_session)
                    return;
                if (error) {
                    fail(monotonicNow());
                    return;
                }
                setKeepAlive(m_socket);
                put(m_context.self.incarnation, m_output);
                flush();
                read();
            });
}

void peer_sender::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [this, keep = shared_from_this(),
                              session = m_session](error_code error, std::size_t count) {
                                 if (m_closed || session != m_session)
                                     return;
                                 if (error) {
                                     fail(monotonicNow());
                                     return;
                                 }
                                 m_input.append(m_chunk.data(), count);
                                 consume();
                                 if (session == m_session)
                                     read();
                             });
}

void peer_sender::consume()
{
    std::string_view input = m_input;
    if (!m_open) {
        if (input.size() < greetingSize)
            return;
        greet(get<incarnation_id>(input), get<std::uint64_t>(input.substr(8)));
        input.remove_prefix(greetingSize);
    }
    while (input.size() >= acknowledgementSize) {
        acknowledge(get<std::uint64_t>(input));
        input.remove_prefix(acknowledgementSize);
    }
    m_input = std::string(input);
    write();
}

void peer_sender::greet(incarnation_id incarnation, std::uint64_t received)
{
    m_open = true;
    m_connecting = false;
    m_retryPause = firstRetry;
    m_progressAt = monotonicNow();
    const bool restarted = m_peerIncarnation != 0 && m_peerIncarnation != incarnation;
    m_peerIncarnation = incarnation;
    if (restarted) {
        // Frames for the earlier process mean nothing to this one.
        std::erase_if(m_frames, [this](const frame &item) {
            if (item.receiver == 0 || item.receiver == m_peerIncarnation)
                return false;
            m_queuedBytes -= item.bytes.size();
            return true;
        });
    }
    m_context.callbacks.changed(m_node, true);
    acknowledge(received);
    if (restarted)
        m_context.callbacks.restarted(m_node);
}

void peer_sender::acknowledge(std::uint64_t number)
{
    m_progressAt = monotonicNow();
    m_silent = false;
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
            m_frames.begin(), m_frames.end(), m_written,
            [](std::uint64_t number, const frame &item) { return number < item.number; });
    if (first == m_frames.begin() && first != m_frames.end())
        m_progressAt = now;
    for (auto item = first; item != m_frames.end() && m_output.size() < mostWriteBytes; ++item) {
        m_written = item->number;
        m_everWritten = std::max(m_everWritten, m_written);
        const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(now - item->since);
        put(static_cast<std::uint32_t>(item->bytes.size()), m_output);
        put(static_cast<std::uint32_t>(held.count()), m_output);
        put(item->number, m_output);
        m_output.append(item->bytes);
        ++m_context.counts.framesSent;
    }
    flush();
}

void peer_sender::expire(time_point now)
{
    const std::size_t dropped = std::erase_if(m_frames, [this, now](const frame &item) {
        if (item.number <= m_written || item.until > now)
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
    boost::asio::async_write(m_socket, boost::asio::buffer(*bytes),
                             [this, bytes, keep = shared_from_this(),
                              session = m_session](error_code error, std::size_t) {
                                 if (m_closed || session != m_session)
                                     return;
                                 m_writing = false;
                                 if (error)
                                     fail(monotonicNow());
                                 else
                                     write();
                             });
}

} // namespace tamarackridge
