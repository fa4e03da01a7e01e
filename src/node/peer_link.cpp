#include "node/peer_link.h"

#include "node/peer_session.h"
#include "process/log.h"
#include "process/supervisor.h"

#include <memory>
#include <utility>

namespace tamarackridge {
namespace {

// More incarnations than this are not alive at a time; see docs/CAPACITY.md for the fleet's size.
constexpr std::size_t mostSenders = 8192;
constexpr std::chrono::milliseconds longestPoll{200};

// Messages that a node may get before the sender knows its incarnation: they only spread state
// that is versioned by itself, so a repetition in another life does no harm.
bool mayPrecedeIncarnation(const peer_message &message)
{
    return std::holds_alternative<heartbeat>(message)
           || std::holds_alternative<entry_summary>(message)
           || std::holds_alternative<entries>(message)
           || std::holds_alternative<config_fetch>(message)
           || std::holds_alternative<config_state>(message)
           || std::holds_alternative<config_records>(message);
}

// Hands the bytes to ZeroMQ without a copy.
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

// Carries out commands on the sockets of one run.
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
            m_link.refuse("no_link");
    }

    void poll(std::chrono::milliseconds wait)
    {
        m_sockets.poll(
                m_link.m_wake.descriptor(), wait,
                [this](zmq::message_t &frame, std::string routingId) {
                    m_link.accept({frame.data<std::byte>(), frame.size()}, std::move(routingId));
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
    , m_replays(mostSenders)
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
        context.progress();
        current.poll(longestPoll);
        stopping = context.stopRequested();
        m_wake.consume();
        for (const command &item : takeCommands())
            std::visit(current, item);
    }
}

bool peer_link::isForThisIncarnation(const decoded_frame &frame) const
{
    const incarnation_id receiver = frame.header.receiver;
    return receiver == m_options.self.incarnation
           || (receiver == 0 && mayPrecedeIncarnation(frame.message));
}

void peer_link::refuse(const std::string &reason)
{
    m_metrics
            .counter("tamarackridge_frames_refused_total",
                     "Frames of peers that were not sent or not accepted.", {{"reason", reason}})
            .Increment();
}

void peer_link::accept(std::span<const std::byte> bytes, std::string routingId)
{
    tl::expected<decoded_frame, error_kind> frame = decodePeerMessage(bytes);
    if (!frame)
        return refuse(std::string(responseFor(frame.error()).name));
    const node_ref &sender = frame->header.sender;
    if (sender.incarnation == m_options.self.incarnation || !isForThisIncarnation(*frame))
        return refuse("wrong_receiver");
    if (!m_replays.accept(sender.incarnation, frame->header.sequence))
        return refuse("repeated");
    if (!routingId.empty() && !m_endpoints.contains(sender.name)) {
        if (m_routes.size() >= mostSenders)
            m_routes.clear(); // Each sender's next frame puts its route back.
        m_routes.insert_or_assign(sender.name, std::move(routingId));
    }
    m_receive(sender, std::move(frame->message));
}

} // namespace tamarackridge
