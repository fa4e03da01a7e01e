#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/action.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief A peer from the settings, contacted first when the node joins.
struct seed_peer
{
    std::string node;
    std::string endpoint;
};

/// \brief Options of node_core.
struct node_options
{
    node_ref self;
    std::string peerEndpoint; ///< Endpoint under which peers reach this node.
    std::vector<seed_peer> seeds;
    bool logConfigured = true; ///< If false, the configuration comes from peers only.
    duration logRetention = std::chrono::hours(24); ///< How long the platform log keeps a record.
    duration quotaLease = std::chrono::hours(12); ///< Lease of a quota slot.
    duration quotaClaimDelay = std::chrono::seconds(10); ///< Spreads claims of free quota slots.
};

/// \brief Announcement of a backend server; accepted only from the VM of the node.
struct backend_announcement
{
    std::string service;
    std::string instance; ///< Differs after each start of the backend server.
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests; 0 if unknown.
    bool leaving = false;
};

/// \brief What a backend server says about itself in a response.
struct server_condition
{
    /// What a response says about the rate of requests that the server takes.
    enum class rate_statement : std::uint8_t {
        unlimited, ///< The response names no limit.
        limited,
        malformed, ///< The response names a limit that cannot be decoded.
    };

    rate_statement rate = rate_statement::unlimited;
    /// Requests per second, of all nodes together; set with rate_statement::limited.
    double maxRate = 0;
    bool leaving = false; ///< The server is going to exit.
};

/// \brief Outcome of run_backend.
struct backend_result
{
    bool bytesSent = false; ///< Whether the backend server may have received any byte.
    bool connectionBroken = false; ///< The connection broke before a complete response.
    tl::expected<http_response, error_kind> response = tl::unexpected(error_kind::backend_failed);
    std::optional<server_condition> condition{}; ///< Absent if there was no complete response.
};

/// \brief Values for the status page and the metrics.
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

/// \brief Decision logic of one node, without input or output.
///
/// Each event function takes the current time and appends the resulting actions to \a out. The
/// object is not thread-safe: the embedding program must serialise the events.
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

    /// \brief Starts the timers, the contact to the seeds and the reading of the log; must be
    /// called once.
    void start(time_point now, action_list &out);

    /// \brief Handles a complete HTTP request from a caller or from the local backend server.
    void callerRequest(call_id call, http_request request, time_point now, action_list &out);
    /// \brief Handles the disconnection of a caller, whose response is no longer needed.
    void callerDisconnected(call_id call, time_point now, action_list &out);

    /// \brief Handles a message from a peer that has passed the checks of the wire layer.
    void peerMessage(const node_ref &from, peer_message message, time_point now, action_list &out);

    void backendAnnounced(const backend_announcement &announcement, time_point now,
                          action_list &out);
    void backendResponse(run_id run, backend_result result, time_point now, action_list &out);
    /// \brief Handles a crash of the backend server, seen as refused connections.
    void backendCrashed(time_point now, action_list &out);

    /// \brief Handles records read from the platform log.
    /// \param first offset of the oldest record of the log.
    /// \param end offset after the newest record of the log.
    void onLogRecords(const std::string &stream, std::span<const log_record> records,
                      std::int64_t first, std::int64_t end, time_point now, action_list &out);
    /// \brief Handles the outcome of append_log; after an error the append may have taken effect.
    void appendDone(append_id append, tl::expected<std::int64_t, error_kind> offset, time_point now,
                    action_list &out);

    /// \brief Runs the timers that are due.
    void tick(time_point now, action_list &out);
    /// \returns the time at which tick() must be called next.
    time_point nextTick() const;

    /// \brief Begins a graceful shutdown: refuses new requests and lets running ones finish.
    void beginShutdown(time_point now, action_list &out);
    /// \returns true when no request is running any more and the process may exit.
    bool drained() const;

    node_status status(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
