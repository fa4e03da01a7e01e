#pragma once

#include "process/metrics.h"
#include "process/wake_event.h"
#include "wire/frame.h"

#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/replay_window.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace tamarackridge {

class child_context;

/// \brief Identity, endpoint and keys of a peer_link.
struct peer_link_options
{
    node_ref self;
    std::string bind; ///< ZeroMQ endpoint to listen on.
    std::string publicKey; ///< Fleet key pair in Z85.
    std::string secretKey;
};

/// \brief Exchanges frames with peer nodes over ZeroMQ with CURVE, on one thread.
///
/// One ROUTER socket receives from all peers, and one DEALER socket for each connected peer sends
/// to it. A frame to a peer without a DEALER is sent over the ROUTER if a frame from that peer
/// arrived there. Frames that cannot be sent are dropped: node_core sends again what has to arrive.
class peer_link
{
public:
    using receiver = std::function<void(const node_ref &from, peer_message message)>;

    /// \param receive called on the thread of run() for each frame that passes all checks.
    peer_link(peer_link_options options, metrics_registry &metrics, receiver receive);
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;
    ~peer_link() = default;

    void send(send_peer item) { push(std::move(item)); }
    void connect(connect_peer item) { push(std::move(item)); }
    void disconnect(disconnect_peer item) { push(std::move(item)); }

    /// \brief Exchanges frames until \a context requests a stop, then sends the queued frames.
    void run(child_context &context);
    void wake() { m_wake.signal(); }

private:
    class session;
    using command = std::variant<send_peer, connect_peer, disconnect_peer>;

    void push(command item);
    std::vector<command> takeCommands();
    void acceptFrame(std::span<const std::byte> bytes, std::string routingId);
    bool isAddressedToThisIncarnation(const decoded_frame &frame) const;
    void countRefusedFrame(const std::string &reason);

    peer_link_options m_options;
    metrics_registry &m_metrics;
    receiver m_receive;
    wake_event m_wake;
    std::mutex m_mutex;
    std::vector<command> m_commands;

    // Accessed only by the thread of run(); members, so that they survive a restart of that thread.
    std::map<std::string, std::string> m_endpoints; // Endpoint of each connected peer, by name.
    std::map<std::string, std::string> m_routes; // ROUTER identity of other senders, by name.
    replay_guard m_replays;
    std::uint64_t m_sequence = 0;
};

} // namespace tamarackridge
