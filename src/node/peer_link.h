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
/// One ROUTER socket receives from all peers and one DEALER socket sends to each peer. A frame to a
/// peer without a DEALER goes back over the ROUTER, if the peer was heard there. Frames that can't
/// be sent are dropped: node_core repeats what matters.
class peer_link
{
public:
    using receiver = std::function<void(const node_ref &from, peer_message message)>;

    /// \param receive is called on the thread of run() for each frame that passed all checks.
    peer_link(peer_link_options options, metrics_registry &metrics, receiver receive);
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;
    ~peer_link() = default;

    void send(send_peer item) { push(std::move(item)); }
    void connect(connect_peer item) { push(std::move(item)); }
    void disconnect(disconnect_peer item) { push(std::move(item)); }

    /// \brief Exchanges frames until a stop is requested; queued frames are still sent then.
    void run(child_context &context);
    void wake() { m_wake.signal(); }

private:
    class session;
    using command = std::variant<send_peer, connect_peer, disconnect_peer>;

    void push(command item);
    std::vector<command> takeCommands();
    void accept(std::span<const std::byte> bytes, std::string routingId);
    bool isForThisIncarnation(const decoded_frame &frame) const;
    void refuse(const std::string &reason);

    peer_link_options m_options;
    metrics_registry &m_metrics;
    receiver m_receive;
    wake_event m_wake;
    std::mutex m_mutex;
    std::vector<command> m_commands;

    // Used by the thread of run() only; kept over a restart of that thread.
    std::map<std::string, std::string> m_endpoints; // Of each connected peer.
    std::map<std::string, std::string> m_routes; // ROUTER identity of each peer that was heard.
    replay_guard m_replays;
    std::uint64_t m_sequence = 0;
};

} // namespace tamarackridge
