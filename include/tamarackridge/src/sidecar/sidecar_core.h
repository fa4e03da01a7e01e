#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/membership/member.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"
#include "tamarackridge/src/quarantine/crash_record.h"
#include "tamarackridge/src/quarantine/fingerprint.h"
#include "tamarackridge/src/sidecar/published_set.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Names of the HTTP headers that the callers and backend servers of a deployment use.
struct header_names
{
    std::string requestId; ///< Identifies one attempt of a caller.
    std::string deadline; ///< Remaining time in milliseconds.
    std::string key; ///< The caller's API key; never forwarded to a backend server.
    std::string customer; ///< Tells the backend server the name of the customer.
    std::string callerService; ///< Tells the backend server which service sent the request.
    std::string expectedInstance; ///< A server with another instance id refuses the request.
    std::string serverLeaving; ///< In responses: the backend server is going to exit.
};

/// \brief Settings of a sidecar_core.
struct sidecar_options
{
    node_ref self;
    std::string peerEndpoint; ///< Address and port at which peers reach this node.
    std::string service; ///< Service that the backend server on this VM offers.
    std::string serverAddress; ///< Address and port of the backend server on this VM.
    std::size_t zones = 1; ///< Number of availability zones of the deployment; each gets an equal
                           ///< part of every rate.
    header_names headers;
};

/// \brief Content of a backend server's heartbeat.
struct server_report
{
    std::string instance;
    std::string service;
    std::string address; ///< Address and port.
    std::int64_t startedAt = 0; ///< Start of the server in Unix milliseconds, by its clock.
    std::int64_t sequence = 0; ///< Increases with each report between two starts.
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    bool leaving = false;
};

/// A backend server that has announced that it is leaving exits well within this time.
inline constexpr std::chrono::seconds departureRetention{120};

/// \brief Departures of backend servers that earlier processes of a node have recorded.
struct recorded_departures
{
    std::vector<server_departure> departures;
    bool complete = true; ///< Whether no record that was confirmed can be missing.
};

/// \brief Outcome of one request, for the request log.
struct ended_request
{
    std::string_view requestId;
    std::string_view route;
    std::string_view service;
    std::string_view customer;
    std::string_view executor; ///< Node of the last attempt; empty when there was none.
    int status = 0;
    run_state state = run_state::unknown;
    std::string_view error; ///< Empty when the backend server responded.
    std::int64_t configVersion = -1;
    duration elapsed{};
    duration objective{}; ///< Latency objective of the route; 0 when it has none.
    std::uint32_t attempts = 0;
};

/// \brief Receives the events of a sidecar_core that are written to logs and metrics.
class decision_observer
{
public:
    decision_observer() = default;
    decision_observer(const decision_observer &) = delete;
    decision_observer &operator=(const decision_observer &) = delete;
    virtual ~decision_observer() = default;

    virtual void requestEnded(const ended_request &request) = 0;
    /// \brief Called when a state known to this process has changed, e.g. the configuration in
    /// force.
    /// \param subject what the state is about, e.g. `configuration` or the name of a peer.
    /// \param knownState the new state, as text.
    /// \param source where this process learned of it, e.g. `heartbeat` or `overlay`.
    virtual void knownStateChanged(std::string_view subject, std::string_view knownState,
                                   std::string_view source) = 0;
    /// \brief Called when a run on the local backend server has ended without a response although
    /// the server may have begun it. A crash that is noticed soon may be attributed to it.
    /// \param path of the request, without the query.
    virtual void runInterrupted(run_id run, const request_identity &identity,
                                std::string_view path) = 0;
    /// \brief Called when the node beside a backend server did not let a request run.
    /// \param identity fingerprint of the request, or only of its variant.
    virtual void runRefused(std::string_view requestId, error_kind reason,
                            std::string_view identity) = 0;
};

/// \brief Decodes the text of a published set; supplied by the embedding program, which knows the
/// format.
using set_decoder = std::function<tl::expected<published_set, std::string>(std::string_view text)>;

/// \brief Decision logic of a sidecar node, whose callers and backend server run on the node's own
/// VM.
///
/// Callers assign an id to each attempt, and API keys belong to the customers of the published set.
/// A request is dispatched to the node on the VM of the chosen backend server; only that node
/// decides whether the server executes it.
///
/// Every event function takes the current time and appends the resulting actions to \a out. The
/// object is not thread-safe: the embedding program must serialise the calls.
///
/// \code
/// sidecar_core core(options, decoder, observer, random);
/// core.configurationRead(text, "store", now, actions);
/// core.callerRequest(1, request, now, actions);
/// \endcode
/// \sa node_core
class sidecar_core
{
public:
    sidecar_core(sidecar_options options, set_decoder decoder, decision_observer &observer,
                 random_source &random);
    sidecar_core(const sidecar_core &) = delete;
    sidecar_core &operator=(const sidecar_core &) = delete;
    ~sidecar_core();

    /// \brief Installs a published set that was read, unless it is not newer than the set in force.
    /// \param source where the set was read, for the log.
    void configurationRead(std::string_view text, std::string_view source, time_point now,
                           action_list &out);
    /// \brief Takes the list of registered nodes, which serve as seeds for joining the fleet.
    void membersListed(const std::vector<seed_peer> &members, time_point now, action_list &out);

    void callerRequest(call_id call, http_request request, time_point now, action_list &out);
    void callerDisconnected(call_id call, time_point now, action_list &out);
    void peerMessage(const node_ref &from, peer_message message, time_point now, action_list &out);

    /// \brief Must be called when the process behind the link to a peer has been replaced by a new
    /// one. Ends the attempts that were sent to an earlier process.
    void peerRestarted(std::string_view node, incarnation_id incarnation, time_point now,
                       action_list &out);

    /// \brief Must be called when a peer does not acknowledge what was sent to it.
    void peerUnresponsive(std::string_view node, time_point now, action_list &out);
    /// \brief Must be called when a dispatch was withdrawn before any byte of it was sent.
    void dispatchNotSent(std::string_view node, std::uint64_t sequence, time_point now,
                         action_list &out);

    /// \brief Takes the departures that earlier processes of this node have recorded.
    ///
    /// A report that the backend server is ready may be older than its departure. Such reports take
    /// effect only after this call, or when other nodes know an earlier process of this node. If
    /// records may be missing, they wait for a health check that the server passes.
    void departuresRead(const recorded_departures &records, time_point now, action_list &out);
    /// \brief Takes the records about requests that crashed backend servers, of all nodes.
    ///
    /// As with the departures, the backend server is used only after this call, or when other nodes
    /// know an earlier process of this node.
    void crashRecordsRead(std::span<const crash_record> records, time_point now, action_list &out);
    /// \brief Takes the result of a check_server action.
    /// \param passed whether \a instance itself has responded that it is healthy and not leaving.
    void serverChecked(std::string_view instance, bool passed, time_point now, action_list &out);
    /// \brief Takes a heartbeat of the backend server on this VM.
    /// \returns false if the report is outdated or about another server; such a report has no
    /// effect.
    bool serverReported(const server_report &report, time_point now, action_list &out);
    /// \brief Takes the notice of the backend server that it is leaving; it may go on serving for
    /// some seconds.
    /// \param startedAt distinguishes several starts with the same instance id; absent if not
    /// known.
    void serverLeaving(std::string_view instance, std::optional<std::int64_t> startedAt,
                       time_point now, action_list &out);
    void backendResponse(run_id run, backend_result result, time_point now, action_list &out);
    /// \brief Must be called when the backend server refuses new connections.
    void backendCrashed(time_point now, action_list &out);

    void tick(time_point now, action_list &out);
    time_point nextTick() const;
    /// \brief Begins a graceful shutdown. Callers' requests are served until callers have had time
    /// to switch to other nodes, and refused from then on.
    /// \param exitAt when the process may have to exit, even if it is not drained. Requests that
    /// are admitted or sent again during the shutdown get a deadline shortly before it.
    void beginShutdown(time_point now, time_point exitAt, action_list &out);
    /// \returns true when shutdown has begun, no request is in progress, and callers have had time
    /// to switch to other nodes.
    bool drained(time_point now) const;
    /// \brief Must be called shortly before the process exits without being drained. Responds to
    /// the callers whose requests are in progress; these requests may have run.
    void endUnfinished(time_point now, action_list &out);
    /// \returns whether callers should send requests to this node.
    bool ready() const;
    /// \returns whether caller connections are to be closed after their next response.
    bool leaving() const;

    const caller_limits &limits() const;
    node_status status(time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
