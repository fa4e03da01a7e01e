#pragma once

#include "core/node/node_counters.h"
#include "core/node/run_headers.h"
#include "tamarackridge/src/node/node_core.h"
#include "tamarackridge/src/overload/admission_queue.h"
#include "tamarackridge/src/overload/concurrency_limit.h"
#include "tamarackridge/src/overload/request_rate_limit.h"
#include "tamarackridge/src/quarantine/crash_tracker.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackridge::internal {

/// How long after the deadline an owner waits for a response. Allows for the network delay of a
/// response that is sent at the deadline.
constexpr duration responseGrace = std::chrono::milliseconds(50);

/// \brief Response to a dispatch, with its receiver.
struct owned_response
{
    node_ref owner;
    dispatch_response response;
    time_point expiresAt; ///< By then the owner has given up waiting.
};

/// \brief Receives the decisions of an executor about requests that crash its backend server.
class quarantine_observer
{
public:
    quarantine_observer() = default;
    quarantine_observer(const quarantine_observer &) = delete;
    quarantine_observer &operator=(const quarantine_observer &) = delete;
    virtual ~quarantine_observer() = default;

    /// \brief Called when a crash was attributed to requests.
    /// \param entries the requests that became suspects or were quarantined; may be empty.
    virtual void crashAttributed(std::span<const overlay_entry> entries) = 0;
    /// \brief Called when a run has ended without a response although its server may have begun it.
    virtual void runInterrupted(run_id run, const request_identity &identity,
                                std::string_view target) = 0;
    /// \brief Called when \a request was refused because it is quarantined.
    /// \param quarantined the request, or only its variant.
    virtual void quarantinedRefused(const http_request &request,
                                    const fingerprint &quarantined) = 0;
};

/// \brief Runs dispatched requests on the local backend server.
///
/// Queues them by priority and limits how many run at the same time.
class executor
{
public:
    /// \brief Receives the outcome of every dispatch.
    using response_sink =
            std::function<void(owned_response result, time_point now, action_list &out)>;

    /// \brief Receives overlay entries about requests that crash backend servers.
    using overlay_sink = std::function<void(const overlay_entry &entry, action_list &out)>;

    executor(run_headers &headers, const concurrency_limit_options &limit, node_counters &counters,
             random_source &random, response_sink sink, overlay_sink publishSink);

    /// \param observer must outlive this object.
    void observeQuarantine(quarantine_observer &observer) { m_quarantineObserver = &observer; }

    /// \brief Accepts a dispatch. Its outcome is reported to the sink exactly once, possibly before
    /// this function returns.
    void accept(const node_ref &owner, dispatch request, time_point now, action_list &out);
    /// \brief Cancels a dispatch whose response the owner no longer needs.
    void cancel(const dispatch_id &id, time_point now, action_list &out);
    void backendResponse(run_id run, backend_result result, time_point now, action_list &out);

    /// \brief Accepts dispatches from now on; a new instance starts with the cold-start ramp.
    void backendReady(const backend_announcement &announcement, time_point now);
    /// \brief Limits the runs in progress until the first response of the backend server, which may
    /// name a limit of its rate. For a process that starts beside a server that is in use.
    void beginCautiously() { m_awaitsCondition = true; }
    /// \brief Keeps to what the current instance of the backend server says about itself.
    void conditionReported(const server_condition &condition, time_point now);
    /// \brief Handles a crash of the backend server, in which all running requests ended.
    void backendCrashed(time_point now, action_list &out);
    /// \brief Handles an entry of a peer or of the store about a request that crashes backend
    /// servers.
    /// \returns whether it was news.
    bool quarantineEntry(const overlay_entry &entry, time_point now);

    /// \brief Refuses new and queued requests with \a reason, until backendReady().
    void stopAccepting(error_kind reason, time_point now, action_list &out);

    void tick(time_point now, action_list &out);
    executor_load load(time_point now);
    bool ready() const { return !m_refusalReason.has_value(); }
    /// \returns whether \a run was started on the instance that was announced last.
    bool isOnCurrentInstance(run_id run) const;
    bool idle() const { return m_executions.empty(); }
    const std::string &service() const { return m_service; }

private:
    struct execution final : fingerprint_source
    {
        fingerprint_parts parts() const override;

        dispatch_id id;
        node_ref owner;
        request_context context;
        http_request request;
        time_point deadline;
        time_point chainStart;
        time_point started;
        trace_context span;
        bool running = false;
        std::string instance; ///< Of the backend server that runs it.
    };

    void publish(const std::vector<overlay_entry> &entries, action_list &out);
    void recordInterruption(run_id run, error_kind cause, time_point now);
    void refuseQuarantined(run_id run, const fingerprint &quarantined, time_point now,
                           action_list &out);
    void refuse(run_id run, error_kind kind, time_point now, action_list &out);
    void finish(run_id run, dispatch_response response, time_point now, action_list &out);
    bool hasCapacity(time_point now);
    void startReady(time_point now, action_list &out);
    void startHeldSuspects(time_point now, action_list &out);
    /// \brief Starts a run for which there is capacity, or refuses it if it is quarantined.
    /// \returns false if the run has to wait until no other suspect is running.
    bool startIfPermitted(run_id run, time_point now, action_list &out);
    void start(run_id run, time_point now, action_list &out);
    http_request backendRequest(run_id run, execution &work, time_point now);
    dispatch_response outcomeOf(const backend_result &result) const;
    void emitSpan(const execution &work, const dispatch_response &response, time_point now,
                  action_list &out) const;

    run_headers &m_headers;
    node_counters &m_counters;
    random_source &m_random;
    response_sink m_responseSink;
    overlay_sink m_publishSink;
    quarantine_observer *m_quarantineObserver = nullptr;
    crash_tracker m_crashTracker;
    concurrency_limit m_limit;
    request_rate_limit m_rateLimit;
    time_point m_rateNamedAt; ///< When a response last named a limit of the rate.
    bool m_awaitsCondition = false; ///< Until the first response to this process.
    admission_queue m_queue;
    std::deque<run_id> m_heldSuspects; ///< Admitted; wait until no other suspect is running.
    std::unordered_map<run_id, execution> m_executions;
    std::map<dispatch_id, run_id> m_runsByDispatch;
    std::optional<error_kind> m_refusalReason = error_kind::no_backend_server;
    std::string m_service;
    std::string m_instance;
    run_id m_nextRun = 1;
    std::vector<std::uint64_t> m_expired;
    time_point m_nextExpiry;
};

} // namespace tamarackridge::internal
