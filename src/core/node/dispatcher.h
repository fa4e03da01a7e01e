#pragma once

#include "core/node/executor.h"
#include "core/node/node_counters.h"
#include "core/node/retry_budget_table.h"
#include "tamarackridge/src/ledger/ledger.h"
#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/overload/attempt_budget.h"
#include "tamarackridge/src/routing/router.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackridge::internal {

/// \brief Final outcome of a request that this node owns, i.e. dispatches.
struct request_outcome
{
    run_state state = run_state::unknown;
    std::optional<error_kind> error;
    http_response response;
    std::uint32_t attemptsUnused = 0;
    std::string executorNode{}; ///< Executor of the last attempt; empty if there was none.
};

/// \brief A request that this node owns: no other node dispatches it.
struct owned_request
{
    request_context context;
    http_request request;
    time_point deadline;
    time_point chainStart;
    std::optional<ledger_key> key; ///< Set if the request has a request id.
};

/// \brief How much of a request's remaining time one attempt of an idempotent request may take.
enum class attempt_timeout : std::uint8_t {
    /// Half of the remaining time, so that another executor can be tried. For transports that
    /// don't report whether a dispatch was delivered.
    half_remaining,
    /// All of the remaining time. For transports that report peers that do not read.
    all_remaining,
};

/// \brief The attempts of a request so far.
struct attempt_summary
{
    std::string_view executor; ///< Of the latest attempt; empty when there was none.
    std::uint32_t attempts = 0;
};

/// \brief Dispatches owned requests to executors and retries them until they have an outcome.
class dispatcher
{
public:
    using request_number = std::uint64_t;
    using outcome_sink = std::function<void(request_number requestNumber, request_outcome outcome,
                                            time_point now, action_list &out)>;
    /// \brief Receives complete responses that arrived after their request was reported as unknown.
    using late_response_sink =
            std::function<void(const ledger_key &key, const http_response &response)>;

    dispatcher(node_ref self, overlay &membership, router &routes, executor &localExecutor,
               node_counters &counters, random_source &random, retry_budget_table retries,
               attempt_timeout attemptTimeout, outcome_sink sink,
               late_response_sink lateResponseSink);

    /// \brief Starts dispatching a request. Its outcome is reported to the sink exactly once.
    request_number start(owned_request request, time_point now, action_list &out);
    /// \brief Cancels an idempotent request whose callers have all disconnected. Has no effect on
    /// other requests.
    void abandon(request_number requestNumber, time_point now, action_list &out);
    /// \brief Handles the outcome of a dispatch; a response that matches no dispatch is dropped.
    void dispatchResponse(std::string_view from, dispatch_response response, time_point now,
                          action_list &out);
    /// \brief Handles the report of the transport that a dispatch was not sent and will not be.
    void dispatchNotSent(std::string_view node, std::uint64_t sequence, time_point now,
                         action_list &out);
    /// \brief Retries idempotent requests elsewhere if their executor is suspect or does not read.
    ///
    /// Retries only as many as the retry budget allows, and only if another executor has the
    /// service. The other requests keep waiting, since the executor may still be running them.
    void executorSuspected(std::string_view node, time_point now, action_list &out);
    /// \brief Ends the attempts of idempotent requests on a dead node: retries them elsewhere or
    /// fails them.
    void executorLost(std::string_view node, time_point now, action_list &out);
    /// \brief Ends the attempts that were sent to an incarnation before \a current, the one that
    /// now runs: retries idempotent requests elsewhere and fails all others.
    void executorRestarted(std::string_view node, incarnation_id current, time_point now,
                           action_list &out);

    void tick(time_point now, action_list &out);
    /// \brief Ends the time for further attempts of all requests at \a latest. Attempts that are in
    /// progress keep the time that they were given.
    void limitDeadlines(time_point latest);
    /// \returns the number that the next start() will assign.
    request_number nextRequestNumber() const { return m_nextRequestNumber; }
    /// \returns the attempts of a request that has no outcome yet.
    attempt_summary attemptsOf(request_number requestNumber) const;
    /// \returns the start of the backend server that the executor of a dispatch had announced when
    /// the dispatch was sent; nothing if it is not known or the dispatch has ended.
    std::optional<server_start> serverOf(const dispatch_id &id) const;
    bool idle() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }
    attempt_timeout attemptTimeout() const { return m_attemptTimeout; }

private:
    struct progress
    {
        owned_request request;
        attempt_budget attempts;
        std::vector<std::string> tried;
        std::uint64_t dispatchSequence = 0; ///< 0 while there is no attempt in flight.
        std::string executorNode;
        incarnation_id executorIncarnation = 0; ///< Process that the attempt was sent to.
        std::optional<server_start> executorServer; ///< Announced when the attempt was sent.
        std::uint32_t attemptShare = 0; ///< Attempts that the current dispatch may use.
        time_point sent;
        time_point attemptDeadline;
        time_point retryAt; ///< Time of the next attempt while none is in flight.
        std::optional<error_kind> lastError; ///< Error of the last attempt.
        bool mayHaveRun = false;
        bool lastAttemptNotRun = false; ///< Whether the last attempt certainly did not run.
    };
    using request_map = std::unordered_map<request_number, progress>;

    void attempt(request_number requestNumber, time_point now, action_list &out);
    void send(request_number requestNumber, std::string_view node, time_point now,
              action_list &out);
    void completeAttempt(request_map::iterator found, dispatch_response response, time_point now,
                         action_list &out);
    void recordAttemptEnd(progress &work, const dispatch_response &response, time_point now);
    std::vector<request_number> idempotentRequestsOn(std::string_view node) const;
    /// \returns the requests whose attempt was sent to an incarnation of \a node before \a current.
    std::vector<request_number> requestsOnEarlierProcess(std::string_view node,
                                                         incarnation_id current) const;
    bool mayRetry(progress &work, const dispatch_response &response, time_point now);
    void fail(request_number requestNumber, error_kind kind, time_point now, action_list &out);
    void finish(request_number requestNumber, request_outcome outcome, time_point now,
                action_list &out);
    void expireAttempt(request_number requestNumber, time_point now, action_list &out);
    void trackLateResponse(const progress &work);
    void handleLateResponse(const dispatch_response &response);

    node_ref m_self;
    overlay &m_membership;
    router &m_routes;
    executor &m_executor;
    node_counters &m_counters;
    random_source &m_random;
    outcome_sink m_outcomeSink;
    late_response_sink m_lateResponseSink;
    retry_budget_table m_retries;
    attempt_timeout m_attemptTimeout;
    request_map m_requests;
    std::unordered_map<std::uint64_t, request_number> m_dispatches;
    std::map<std::uint64_t, ledger_key> m_expiredDispatches; ///< Only of requests with an id.
    request_number m_nextRequestNumber = 1;
    std::uint64_t m_nextSequence = 1;
};

} // namespace tamarackridge::internal
