#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief State of a node and its backend server, as announced by the node.
enum class member_state : std::uint8_t {
    starting, ///< No backend server has announced itself yet.
    serving,
    leaving, ///< Receives no new work.
    left, ///< Has stopped. If a successor is named, it has taken over the ledger.
};

/// \returns the lower-case name of \a state.
std::string_view toString(member_state state);

/// \brief Identifies one start of a backend server.
struct server_start
{
    std::string instance;
    std::int64_t startedAt = 0; ///< Unix milliseconds, by the server's clock.

    friend bool operator==(const server_start &, const server_start &) = default;
};

/// \brief A start of a backend server that has announced that it leaves.
struct server_departure
{
    std::string instance;
    std::optional<std::int64_t> startedAt; ///< Unix milliseconds, by the server's clock.

    friend bool operator==(const server_departure &, const server_departure &) = default;
};

/// \brief Directory entry of one node. Only the node itself raises its version.
struct member
{
    node_ref node;
    std::uint64_t counter = 0; ///< Raised with every change.
    std::string endpoint;
    std::string service; ///< Empty while starting.
    std::uint32_t slots = 0;
    member_state state = member_state::starting;
    /// Whether the node holds quota slots, so that tokens can be requested from it.
    bool holdsQuota = false;
    std::string successor; ///< Node that took over the ledger, set with member_state::left.
    /// The start of the backend server that the node knows; absent if it has not reported.
    std::optional<server_start> server{};
    /// Last departure of the backend server on the node's VM. Kept by the other nodes, it reaches
    /// the node's next process.
    std::optional<server_departure> departure{};

    entry_version version() const { return {node.incarnation, counter}; }
};

/// \returns the overlay entry of \a source.
overlay_entry encodeMember(const member &source);
/// \returns the member, or nothing if the entry cannot be decoded.
std::optional<member> decodeMember(const overlay_entry &entry);

/// \returns an entry that announces \a subject as suspected, because it has sent no heartbeats.
overlay_entry encodeSuspicion(const member &subject);

} // namespace tamarackridge
