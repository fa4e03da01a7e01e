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

/// \brief Final outcome of a request that this node owns.
struct request_outcome
{
    run_state state = run_state::unknown;
    std::optional<error_kind> error;
    http_response response;
    std::uint32_t attemptsUnused = 0;
    std::string executorNode{}; ///< Of the last attempt; empty when none was made.
};

/// \brief A request that this node owns: it alone dispatches it.
struct owned_request
{
    request_context context;
    http_request request;
    time_point deadline;
    time_point chainStart;
    std::optional<ledger_key> key; ///< Set for a request with a request id.
};

/// \brief How long a dispatcher waits for one attempt.
enum class attempt_timeout : std::uint8_t {
    /// Half of the time that is left, so that another executor can be tried: for transports that do
    /// not tell whether a dispatch arrived.
    half_remaining,
    /// All of it: the transport reports peers that do not read.
    all_remaining,
};

/// \brief Brings owned requests to an outcome: chooses executors, sends, retries.
class dispatcher
{
public:
    using request_number = std::uint64_t;
    using outcome_sink = std::function<void(request_number owned, request_outcome outcome,
                                            time_point now, action_list &out)>;
    /// \brief Receives whole answers that came after their request was reported as unknown.
    using late_sink = std::function<void(const ledger_key &key, const http_response &response)>;

    dispatcher(node_ref self, overlay &membership, router &routes, executor &ownExecutor,
               node_counters &counters, random_source &random, retry_budget_table retries,
               attempt_timeout patience, outcome_sink sink, late_sink lateSink);

    /// \brief Takes a request; its outcome is reported exactly once.
    request_number start(owned_request request, time_point now, action_list &out);
    /// \brief Nobody waits for an idempotent request any more.
    void abandon(request_number owned, time_point now, action_list &out);
    /// \brief Handles the outcome of a dispatch; an answer that matches no dispatch is dropped.
    void dispatchResponse(std::string_view from, dispatch_response response, time_point now,
                          action_list &out);
    /// \brief The transport did not hand a dispatch over, and will not.
    void dispatchNotSent(std::string_view node, std::uint64_t sequence, time_point now,
                         action_list &out);
    /// \brief A node became suspect or does not read: idempotent requests on it are sent elsewhere,
    /// as far as the retry budget goes. The others keep waiting, since the node may be at work.
    void executorSuspected(std::string_view node, time_point now, action_list &out);
    /// \brief A node died with what it ran: its idempotent requests are sent elsewhere or end.
    void executorLost(std::string_view node, time_point now, action_list &out);

    void tick(time_point now, action_list &out);
    /// \returns the number that the next start() will use.
    request_number nextRequestNumber() const { return m_nextOwned; }
    bool idle() const { return m_owned.empty(); }
    std::size_t size() const { return m_owned.size(); }
    attempt_timeout patience() const { return m_patience; }

private:
    struct progress
    {
        owned_request request;
        attempt_budget attempts;
        std::vector<std::string> tried;
        std::uint64_t dispatchSequence = 0; ///< 0 while nothing is under way.
        std::string executorNode;
        std::uint32_t part = 0;
        time_point sent;
        time_point attemptDeadline;
        time_point retryAt; ///< When nothing is under way.
        std::optional<error_kind> lastError; ///< Of the last attempt.
        bool mayHaveRun = false;
        bool lastRefused = false; ///< The last attempt did not run.
    };
    using owned_map = std::unordered_map<request_number, progress>;

    void attempt(request_number owned, time_point now, action_list &out);
    void send(request_number owned, std::string_view node, time_point now, action_list &out);
    void settle(owned_map::iterator found, dispatch_response response, time_point now,
                action_list &out);
    void endAttempt(progress &work, const dispatch_response &response, time_point now);
    std::vector<request_number> idempotentOn(std::string_view node) const;
    bool mayRetry(progress &work, const dispatch_response &response, time_point now);
    void fail(request_number owned, error_kind kind, time_point now, action_list &out);
    void finish(request_number owned, request_outcome outcome, time_point now, action_list &out);
    void expireAttempt(request_number owned, time_point now, action_list &out);
    void rememberLate(const progress &work);
    void lateResponse(const dispatch_response &response);

    node_ref m_self;
    overlay &m_membership;
    router &m_routes;
    executor &m_executor;
    node_counters &m_counters;
    random_source &m_random;
    outcome_sink m_sink;
    late_sink m_lateSink;
    retry_budget_table m_retries;
    attempt_timeout m_patience;
    owned_map m_owned;
    std::unordered_map<std::uint64_t, request_number> m_dispatches;
    std::map<std::uint64_t, ledger_key> m_late; ///< Expired dispatches of requests with an id.
    request_number m_nextOwned = 1;
    std::uint64_t m_nextSequence = 1;
};

} // namespace tamarackridge::internal
