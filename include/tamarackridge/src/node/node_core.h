#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/action.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief A peer that is known from the settings.
struct seed_peer
{
    std::string node;
    std::string endpoint;
};

/// \brief Settings of a node's decisions.
struct node_options
{
    node_ref self;
    std::string peerEndpoint; ///< Endpoint under which peers reach this node.
    std::vector<seed_peer> seeds;
    bool logConfigured = true; ///< False: configuration comes from peers only.
    duration logRetention = std::chrono::hours(24); ///< How long the log keeps a record.
    duration quotaLease = std::chrono::hours(12); ///< Of a quota slot.
    duration quotaClaimDelay = std::chrono::seconds(10); ///< Spreads the claims of free slots.
};

/// \brief What a backend server says about itself; accepted from the node's own VM only.
struct backend_announcement
{
    std::string service;
    std::string instance; ///< Changes with every start of the backend server.
    std::uint32_t slots = 0; ///< Upper bound of concurrent requests; 0 when not known.
    bool leaving = false;
};

/// \brief Outcome of run_backend.
struct backend_result
{
    bool bytesSent =
            false; ///< Whether any byte of the request may have reached the backend server.
    bool connectionBroken = false; ///< The connection broke before a whole answer.
    tl::expected<http_response, error_kind> response = tl::unexpected(error_kind::backend_failed);
};

/// \brief Figures for the status page and the metrics.
struct node_status
{
    node_ref self;
    std::int64_t configVersion = -1;
    duration confirmationAge{};
    bool ready = false;
    bool leaving = false;
    std::string service;
    executor_load load;
    std::size_t callsInFlight = 0;
    std::size_t membersKnown = 0;
    std::size_t quotaSlotsHeld = 0;
    std::vector<std::pair<std::string, std::uint64_t>> counters; ///< Name and value.
    std::vector<std::string> members; ///< One line `zone/node state service` each.
};

/// \brief All decisions of one node.
///
/// Every event takes the present time and appends the resulting actions to \a out. The object is
/// not synchronised: the shell serialises the events.
///
/// \code
/// node_core core(options, random);
/// action_list actions;
/// core.callerRequest(1, request, now, actions);
/// \endcode
class node_core
{
public:
    node_core(node_options options, random_source &random);
    node_core(const node_core &) = delete;
    node_core &operator=(const node_core &) = delete;
    ~node_core();

    /// \brief Starts timers, seeds and log reading; called once.
    void start(time_point now, action_list &out);

    /// \brief A caller's (or the own backend server's) whole HTTP request has arrived.
    void callerRequest(call_id call, http_request request, time_point now, action_list &out);
    /// \brief The caller closed its connection; its answer is no longer needed.
    void callerDisconnected(call_id call, time_point now, action_list &out);

    /// \brief A message from a peer that passed the checks of the wire layer.
    void peerMessage(const node_ref &from, peer_message message, time_point now, action_list &out);

    void backendAnnounced(const backend_announcement &announcement, time_point now,
                          action_list &out);
    void backendResponse(run_id run, backend_result result, time_point now, action_list &out);
    /// \brief New connections to the backend server are refused.
    void backendCrashed(time_point now, action_list &out);

    /// \brief Records that were read; \a end is the log's end and \a first its oldest record.
    void onLogRecords(const std::string &stream, std::span<const log_record> records,
                      std::int64_t first, std::int64_t end, time_point now, action_list &out);
    /// \brief Outcome of append_log; an error leaves open whether the append took effect.
    void appendDone(append_id append, tl::expected<std::int64_t, error_kind> offset, time_point now,
                    action_list &out);

    /// \brief Carries out due timers.
    void tick(time_point now, action_list &out);
    /// \returns when tick() is due next.
    time_point nextTick() const;

    /// \brief Begins a graceful shutdown: no new work, running work finishes.
    void beginShutdown(time_point now, action_list &out);
    /// \returns true when nothing is running any more and the process may end.
    bool drained() const;

    node_status status(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
