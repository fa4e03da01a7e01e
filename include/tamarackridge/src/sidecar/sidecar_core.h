#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"
#include "tamarackridge/src/sidecar/published_set.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Header names that callers and backend servers of a deployment use.
struct header_names
{
    std::string requestId; ///< Names one attempt of a caller.
    std::string deadline; ///< Milliseconds that are left.
    std::string key; ///< A caller's key; never passed on.
    std::string customer; ///< Tells a backend server whose request it is.
    std::string callerService; ///< Tells a backend server where the request began.
    std::string expectedInstance; ///< A backend server under another id refuses the request.
};

/// \brief Settings of a sidecar's decisions.
struct sidecar_options
{
    node_ref self;
    std::string peerEndpoint; ///< Address and port under which peers reach this node.
    std::string service; ///< Of the backend server on this VM.
    std::string serverAddress; ///< Of the backend server: address and port.
    std::size_t zones =
            1; ///< Availability zones of the deployment; each has an equal part of rates.
    header_names headers;
};

/// \brief What a backend server says about itself in a heartbeat.
struct server_report
{
    std::string instance;
    std::string service;
    std::string address; ///< Address and port.
    std::int64_t startedAt = 0; ///< Unix milliseconds, by the server's clock.
    std::int64_t sequence = 0; ///< Raised with each report of one start.
    std::uint32_t slots = 0; ///< Concurrent requests.
    bool leaving = false;
};

/// \brief How one request ended, for the log.
struct ended_request
{
    std::string_view requestId;
    std::string_view route;
    std::string_view service;
    std::string_view customer;
    std::string_view executor; ///< Node of the last attempt; empty when there was none.
    int status = 0;
    run_state state = run_state::unknown;
    std::string_view error; ///< Empty for an answer of the backend server.
    std::int64_t configVersion = -1;
    duration elapsed{};
    duration objective{}; ///< Latency objective of the route; 0 when it has none.
    std::uint32_t attempts = 0;
};

/// \brief Receives the decisions of a sidecar_core for logs and metrics.
class decision_observer
{
public:
    decision_observer() = default;
    decision_observer(const decision_observer &) = delete;
    decision_observer &operator=(const decision_observer &) = delete;
    virtual ~decision_observer() = default;

    virtual void requestEnded(const ended_request &request) = 0;
    /// \brief Something that this process believes has changed.
    /// \param subject what it is about, for example `configuration` or the name of a peer.
    virtual void knownStateChanged(std::string_view subject, std::string_view knownState,
                                   std::string_view source) = 0;
};

/// \brief Decodes a published set; the shell knows the format.
using set_decoder = std::function<tl::expected<published_set, std::string>(std::string_view text)>;

/// \brief All decisions of a node whose callers and backend server are on its own VM.
///
/// Callers name each attempt themselves and keys belong to customers of a published set. A request
/// goes to the node beside the chosen backend server, which alone decides what runs there.
///
/// Every event takes the present time and appends the resulting actions to \a out. The object is
/// not synchronised: the shell serialises the events.
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

    /// \brief A published set was read; an older one than the one in force is dropped.
    /// \param source where it came from, for the log.
    void configurationRead(std::string_view text, std::string_view source, time_point now,
                           action_list &out);
    /// \brief Nodes that may be reached, for joining the fleet.
    void membersListed(const std::vector<seed_peer> &members, time_point now, action_list &out);

    void callerRequest(call_id call, http_request request, time_point now, action_list &out);
    void callerDisconnected(call_id call, time_point now, action_list &out);
    void peerMessage(const node_ref &from, peer_message message, time_point now, action_list &out);

    /// \brief The process behind the link to a peer is another one than before.
    void peerRestarted(std::string_view node, time_point now, action_list &out);

    /// \brief A peer does not acknowledge what was sent to it.
    void peerUnresponsive(std::string_view node, time_point now, action_list &out);
    /// \brief A dispatch was taken back before any byte of it was sent.
    void dispatchNotSent(std::string_view node, std::uint64_t sequence, time_point now,
                         action_list &out);

    /// \brief A heartbeat of the own backend server.
    /// \returns false when it is out of date or about another server; it is not acted upon then.
    bool serverReported(const server_report &report, time_point now, action_list &out);
    /// \brief The backend server says that it leaves; it may go on serving for some seconds.
    /// \param startedAt tells starts under the same id apart, if known.
    void serverLeaving(std::string_view instance, std::optional<std::int64_t> startedAt,
                       time_point now, action_list &out);
    void backendResponse(run_id run, backend_result result, time_point now, action_list &out);
    /// \brief New connections to the backend server are refused.
    void backendCrashed(time_point now, action_list &out);

    void tick(time_point now, action_list &out);
    time_point nextTick() const;
    void beginShutdown(time_point now, action_list &out);
    /// \returns true when nothing is running any more and callers have had time to move on.
    bool drained(time_point now) const;
    /// \returns whether callers are to send requests here.
    bool ready() const;
    /// \returns whether new connections are to be closed after their next answer.
    bool leaving() const;

    const caller_limits &limits() const;
    node_status status(time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
