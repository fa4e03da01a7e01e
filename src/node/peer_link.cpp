#include "node/peer_link.h"

#include "node/peer_session.h"
#include "process/log.h"
#include "process/supervisor.h"

#include <memory>
#include <utility>

namespace tamarackridge {
namespace {

// Upper bound of the incarnations that run at the same time; see docs/CAPACITY.md for the fleet's
// size.
constexpr std::size_t maxSenders = 8192;
constexpr std::chrono::milliseconds maxPollWait{200};

// Returns whether the message may be sent before the sender knows the receiver's incarnation. This
// holds for messages that only spread versioned state: another incarnation may receive them again
// without harm.
bool allowedWithoutIncarnation(const peer_message &message)
{
    return std::holds_alternative<heartbeat>(message)
           || std::holds_alternative<entry_summary>(message)
           || std::holds_alternative<entries>(message)
           || std::holds_alternative<config_fetch>(message)
           || std::holds_alternative<config_state>(message)
           || std::holds_alternative<config_records>(message);
}

// Moves the bytes into a ZeroMQ message without copying them.
zmq::message_t toMessage(std::string bytes)
{
    auto owner = std::make_unique<std::string>(std::move(bytes));
    std::string *const text = owner.get();
    zmq::message_t message(
            text->data(), text->size(),
            [](void *, void *hint) { delete static_cast<std::string *>(hint); }, text);
    static_cast<void>(owner.release());
    return message;
}

} // namespace

// Executes commands on the sockets of one call of run().
class peer_link::session
{
public:
    explicit session(peer_link &link)
        : m_link(link)
        , m_sockets(link.m_options.bind, link.m_options.publicKey, link.m_options.secretKey)
    {
        for (const auto &[node, endpoint] : link.m_endpoints)
            m_sockets.connect(node, endpoint);
    }

    void operator()(const connect_peer &item)
    {
        m_sockets.connect(item.node, item.endpoint);
        m_link.m_endpoints.insert_or_assign(item.node, item.endpoint);
    }
    void operator()(const disconnect_peer &item)
    {
        m_sockets.disconnect(item.node);
        m_link.m_endpoints.erase(item.node);
        m_link.m_routes.erase(item.node);
    }
    void operator()(const send_peer &item)
    {
        const frame_header header{m_link.m_options.self, item.receiver, ++m_link.m_sequence};
        zmq::message_t frame = toMessage(encodePeerMessage(header, item.message));
        if (m_link.m_endpoints.contains(item.node)) {
            m_sockets.send(item.node, std::move(frame));
            return;
        }
        const auto route = m_link.m_routes.find(item.node);
        if (route == m_link.m_routes.end() || !m_sockets.reply(route->second, std::move(frame)))
            m_link.countRefusedFrame("no_link");
    }

    void poll(std::chrono::milliseconds wait)
    {
        m_sockets.poll(m_link.m_wake.descriptor(), wait,
                       [this](zmq::message_t &frame, std::string routingId) {
                           m_link.acceptFrame({frame.data<std::byte>(), frame.size()},
                                              std::move(routingId));
                       });
    }

private:
    peer_link &m_link;
    internal::peer_session m_sockets;
};

peer_link::peer_link(peer_link_options options, metrics_registry &metrics, receiver receive)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_receive(std::move(receive))
    , m_replays(maxSenders)
{ }

void peer_link::push(command item)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_commands.empty();
        m_commands.push_back(std::move(item));
    }
    if (wasEmpty)
        m_wake.signal();
}

std::vector<peer_link::command> peer_link::takeCommands()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_commands, {});
}

void peer_link::run(child_context &context)
{
    session current(*this);
    bool stopping = false;
    while (!stopping) {
        context.reportProgress();
        current.poll(maxPollWait);
        stopping = context.stopRequested();
        m_wake.consume();
        for (const command &item : takeCommands())
            std::visit(current, item);
    }
}

bool peer_link::isAddressedToThisIncarnation(const decoded_frame &frame) const
{
    const incarnation_id receiver = frame.header.receiver;
    return receiver == m_options.self.incarnation
           || (receiver == 0 && allowedWithoutIncarnation(frame.message));
}

void peer_link::countRefusedFrame(const std::string &reason)
{
    m_metrics
            .counter("tamarackridge_frames_refused_total",
                     "Frames of peers that were not sent or not accepted.", {{"reason", reason}})
            .Increment();
}

void peer_link::acceptFrame(std::span<const std::byte> bytes, std::string routingId)
{
    tl::expected<decoded_frame, error_kind> frame = decodePeerMessage(bytes);
    if (!frame)
        return countRefusedFrame(std::string(responseFor(frame.error()).name));
    const node_ref &sender = frame->header.sender;
    if (sender.incarnation == m_options.self.incarnation || !isAddressedToThisIncarnation(*frame))
        return countRefusedFrame("wrong_receiver");
    if (!m_replays.accept(sender.incarnation, frame->header.sequence))
        return countRefusedFrame("repeated");
    if (!routingId.empty() && !m_endpoints.contains(sender.name)) {
        if (m_routes.size() >= maxSenders)
            m_routes.clear(); // The next frame of each sender adds its route again.
        m_routes.insert_or_assign(sender.name, std::move(routingId));
    }
    m_receive(sender, std::move(frame->message));
}

} // namespace tamarackridge
