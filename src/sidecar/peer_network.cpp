#include "sidecar/peer_network.h"

#include "wire/frame.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <deque>
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
// What heartbeats and entries tell is told again by later ones.
constexpr duration stateTime = std::chrono::seconds(2);
constexpr duration answerTime = std::chrono::seconds(5);
constexpr std::size_t mostQueuedBytes = std::size_t{16} * 1024 * 1024; ///< For one peer.
constexpr std::size_t mostWriteBytes = std::size_t{128} * 1024;
constexpr std::size_t mostFrameBytes = std::size_t{96} * 1024 * 1024;
constexpr std::size_t mostSenders = std::size_t{16} * 1024;
constexpr std::size_t readStep = std::size_t{16} * 1024;
constexpr int backlog = 256;

// A frame begins with its length, the milliseconds for which it was held, and its number.
constexpr std::size_t frameHeaderSize = 4 + 4 + 8;
// A connection begins with the sender's incarnation; the receiver answers with its own and with the
// last number that it received from this sender.
constexpr std::size_t helloSize = 8;
constexpr std::size_t greetingSize = 16;
constexpr std::size_t acknowledgementSize = 8;

template <typename Integer>
void put(Integer value, std::string &out)
{
    for (std::size_t byte = 0; byte < sizeof value; ++byte)
        out.push_back(static_cast<char>(value >> (8 * byte) & 0xffU));
}

template <typename Integer>
Integer get(std::string_view bytes)
{
    Integer value = 0;
    for (std::size_t byte = 0; byte < sizeof value; ++byte)
        value |= static_cast<Integer>(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
    return value;
}

duration timeToLive(const peer_message &message)
{
    if (const dispatch *request = std::get_if<dispatch>(&message))
        return request->context.deadlineLeft;
    if (std::holds_alternative<dispatch_answer>(message))
        return answerTime;
    return stateTime;
}

tcp::endpoint parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string_view::npos)
        return {};
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    error_code fault;
    const boost::asio::ip::address address =
            boost::asio::ip::make_address(std::string(text.substr(0, colon)), fault);
    return fault ? tcp::endpoint() : tcp::endpoint(address, port);
}

} // namespace

/// The sending side of a link to one peer.
class peer_network::outgoing : public std::enable_shared_from_this<outgoing>
{
public:
    outgoing(peer_network &network, std::string node, const std::string &endpoint)
        : m_network(network)
        , m_node(std::move(node))
        , m_endpointText(endpoint)
        , m_endpoint(parseEndpoint(endpoint))
        , m_socket(network.m_loop)
    { }

    const std::string &endpoint() const { return m_endpointText; }

    void send(std::string bytes, incarnation receiver, duration timeToLive, dispatch_id id)
    {
        const time_point now = monotonicNow();
        m_queuedBytes += bytes.size();
        m_frames.push_back(
                {++m_network.m_lastNumber, receiver, now, now + timeToLive, id, std::move(bytes)});
        while (m_queuedBytes > mostQueuedBytes && m_frames.size() > 1)
            drop();
        if (m_open)
            write();
        else if (!m_connecting && now >= m_retryAt)
            connect(now);
    }

    void sweep(time_point now)
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

    void close()
    {
        m_closed = true;
        reset();
    }

private:
    struct frame
    {
        std::uint64_t number = 0;
        incarnation receiver = 0;
        time_point since;
        time_point until;
        dispatch_id id; ///< Sequence 0 for anything but a dispatch.
        std::string bytes;
    };

    void drop()
    {
        m_queuedBytes -= m_frames.front().bytes.size();
        m_frames.pop_front();
        ++m_network.m_counts.framesExpired;
    }

    void reportSilence()
    {
        if (std::exchange(m_silent, true))
            return;
        m_network.m_callbacks.silent(m_node);
    }

    /// Dispatches that no connection carried, not even in part, have certainly not arrived.
    void takeBack()
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
        peer_network &network = m_network;
        for (const dispatch_id &id : unsent)
            network.m_callbacks.undelivered(node, id);
    }

    void reset()
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

    void fail(time_point now)
    {
        const bool wasOpen = m_open;
        reset();
        m_retryAt = now + m_retryPause;
        m_retryPause = std::min(2 * m_retryPause, longestRetry);
        if (wasOpen) {
            m_network.m_callbacks.changed(m_node, false);
            return;
        }
        // A link that was lost is tried once more before its requests are given back.
        const std::shared_ptr<outgoing> keep = shared_from_this();
        reportSilence();
        takeBack();
    }

    void connect(time_point now)
    {
        m_connecting = true;
        m_progressAt = now;
        m_socket.async_connect(m_endpoint, [this, keep = shared_from_this(),
                                            session = m_session](error_code error) {
            if (m_closed || session != m_session)
                return;
            if (error) {
                fail(monotonicNow());
                return;
            }
            setKeepAlive(m_socket);
            put(m_network.m_self.life, m_output);
            m_connecting = true;
            flush();
            read();
        });
    }

    void read()
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

    void consume()
    {
        std::string_view input = m_input;
        if (!m_open) {
            if (input.size() < greetingSize)
                return;
            greet(get<incarnation>(input), get<std::uint64_t>(input.substr(8)));
            input.remove_prefix(greetingSize);
        }
        while (input.size() >= acknowledgementSize) {
            acknowledge(get<std::uint64_t>(input));
            input.remove_prefix(acknowledgementSize);
        }
        m_input = std::string(input);
        write();
    }

    void greet(incarnation life, std::uint64_t received)
    {
        m_open = true;
        m_connecting = false;
        m_retryPause = firstRetry;
        m_progressAt = monotonicNow();
        const bool restarted = m_peerLife != 0 && m_peerLife != life;
        m_peerLife = life;
        if (restarted) {
            // Frames for the earlier process mean nothing to this one.
            std::erase_if(m_frames, [this](const frame &item) {
                if (item.receiver == 0 || item.receiver == m_peerLife)
                    return false;
                m_queuedBytes -= item.bytes.size();
                return true;
            });
        }
        m_network.m_callbacks.changed(m_node, true);
        acknowledge(received);
        if (restarted)
            m_network.m_callbacks.restarted(m_node);
    }

    void acknowledge(std::uint64_t number)
    {
        m_progressAt = monotonicNow();
        m_silent = false;
        while (!m_frames.empty() && m_frames.front().number <= number) {
            m_queuedBytes -= m_frames.front().bytes.size();
            m_frames.pop_front();
        }
    }

    void write()
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
        for (auto item = first; item != m_frames.end() && m_output.size() < mostWriteBytes;
             ++item) {
            m_written = item->number;
            m_everWritten = std::max(m_everWritten, m_written);
            const auto held =
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - item->since);
            put(static_cast<std::uint32_t>(item->bytes.size()), m_output);
            put(static_cast<std::uint32_t>(held.count()), m_output);
            put(item->number, m_output);
            m_output.append(item->bytes);
            ++m_network.m_counts.framesSent;
        }
        flush();
    }

    void expire(time_point now)
    {
        const std::size_t dropped = std::erase_if(m_frames, [this, now](const frame &item) {
            if (item.number <= m_written || item.until > now)
                return false;
            m_queuedBytes -= item.bytes.size();
            return true;
        });
        m_network.m_counts.framesExpired += dropped;
    }

    void flush()
    {
        if (m_output.empty())
            return;
        m_writing = true;
        std::shared_ptr<std::string> bytes = std::make_shared<std::string>(std::move(m_output));
        m_output.clear();
        m_network.m_counts.bytesSent += bytes->size();
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

    peer_network &m_network;
    std::string m_node;
    std::string m_endpointText;
    tcp::endpoint m_endpoint;
    tcp::socket m_socket;
    std::deque<frame> m_frames; ///< Not acknowledged, by number.
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_written = 0; ///< Last number written to this connection.
    std::uint64_t m_everWritten = 0; ///< Last number written to any connection.
    std::uint64_t m_session = 0; ///< Tells operations of earlier connections apart.
    incarnation m_peerLife = 0;
    time_point m_progressAt;
    time_point m_retryAt;
    duration m_retryPause = firstRetry;
    std::string m_output;
    std::string m_input;
    std::array<char, 1024> m_chunk{};
    bool m_open = false;
    bool m_connecting = false;
    bool m_writing = false;
    bool m_closed = false;
    bool m_silent = false; ///< Reported as silent since the last acknowledgement.
};

/// The receiving side of a link from one peer.
class peer_network::incoming : public std::enable_shared_from_this<incoming>
{
public:
    incoming(peer_network &network, tcp::socket socket)
        : m_network(network)
        , m_socket(std::move(socket))
    { }

    void start()
    {
        setKeepAlive(m_socket);
        read();
    }

    void close()
    {
        m_closed = true;
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    void end()
    {
        const std::shared_ptr<incoming> keep = shared_from_this();
        close();
        m_network.m_incoming.erase(keep);
    }

    void read()
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
                    if (!consume()) {
                        ++m_network.m_counts.framesRefused;
                        end();
                        return;
                    }
                    if (!m_closed)
                        read();
                });
    }

    bool consume()
    {
        std::size_t position = 0;
        if (m_sender == 0) {
            if (m_input.size() < helloSize)
                return true;
            m_sender = get<incarnation>(m_input);
            position = helloSize;
            if (m_network.m_received.size() >= mostSenders)
                m_network.m_received.clear();
            put(m_network.m_self.life, m_output);
            put(m_network.m_received[m_sender], m_output);
        }
        std::uint64_t &last = m_network.m_received[m_sender];
        const std::uint64_t before = last;
        while (m_input.size() - position >= frameHeaderSize) {
            const std::string_view header(m_input.data() + position, frameHeaderSize);
            const std::size_t size = get<std::uint32_t>(header);
            if (size > mostFrameBytes)
                return false;
            if (m_input.size() - position < frameHeaderSize + size)
                break;
            const std::uint64_t number = get<std::uint64_t>(header.substr(8));
            if (number > last) {
                last = number;
                m_network.deliver(m_input.substr(position + frameHeaderSize, size),
                                  std::chrono::milliseconds(get<std::uint32_t>(header.substr(4))));
            }
            position += frameHeaderSize + size;
        }
        m_input.erase(0, position);
        if (last != before)
            put(last, m_output);
        acknowledge();
        return true;
    }

    void acknowledge()
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
                        acknowledge();
                });
    }

    peer_network &m_network;
    tcp::socket m_socket;
    incarnation m_sender = 0;
    std::string m_input;
    std::string m_output;
    std::array<char, readStep> m_chunk{};
    bool m_writing = false;
    bool m_closed = false;
};

peer_network::peer_network(boost::asio::io_context &loop, const socket_address &address,
                           node_ref self, peer_callbacks callbacks)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_callbacks(std::move(callbacks))
    , m_acceptor(loop)
{
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(address.endpoint());
    m_acceptor.listen(backlog);
    accept();
}

peer_network::~peer_network()
{
    for (const auto &[node, link] : m_outgoing)
        link->close();
    for (const std::shared_ptr<incoming> &link : m_incoming)
        link->close();
}

void peer_network::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            const std::shared_ptr<incoming> link =
                    std::make_shared<incoming>(*this, std::move(socket));
            m_incoming.insert(link);
            link->start();
        }
        accept();
    });
}

void peer_network::connect(const std::string &node, const std::string &endpoint)
{
    std::shared_ptr<outgoing> &link = m_outgoing[node];
    if (link && link->endpoint() == endpoint)
        return;
    if (link)
        link->close();
    link = std::make_shared<outgoing>(*this, node, endpoint);
}

void peer_network::disconnect(const std::string &node)
{
    const auto found = m_outgoing.find(node);
    if (found == m_outgoing.end())
        return;
    found->second->close();
    m_outgoing.erase(found);
}

void peer_network::send(const std::string &node, incarnation receiver, const peer_message &message)
{
    const auto found = m_outgoing.find(node);
    if (found == m_outgoing.end())
        return;
    const frame_header header{m_self, receiver, 0};
    const dispatch *request = std::get_if<dispatch>(&message);
    found->second->send(encodePeerMessage(header, message), receiver, timeToLive(message),
                        request == nullptr ? dispatch_id() : request->id);
}

void peer_network::sweep(time_point now)
{
    for (const auto &[node, link] : m_outgoing)
        link->sweep(now);
}

void peer_network::deliver(const std::string &bytes, duration held)
{
    tl::expected<decoded_frame, error_kind> frame =
            decodePeerMessage(std::as_bytes(std::span(bytes.data(), bytes.size())));
    const bool isHere =
            frame && (frame->header.receiver == 0 || frame->header.receiver == m_self.life);
    if (!isHere) {
        ++m_counts.framesRefused;
        return;
    }
    if (dispatch *request = std::get_if<dispatch>(&frame->message)) {
        request->context.deadlineLeft -= held;
        request->context.chainAge += held;
    }
    m_callbacks.received(frame->header.sender, std::move(frame->message));
}

} // namespace tamarackridge
