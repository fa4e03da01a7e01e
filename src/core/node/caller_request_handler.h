#pragma once

#include "core/node/config_service.h"
#include "core/node/dispatcher.h"
#include "core/node/node_counters.h"
#include "core/node/quota_service.h"
#include "tamarackridge/src/ledger/handle_table.h"
#include "tamarackridge/src/ledger/ledger.h"
#include "tamarackridge/src/overload/attempt_budget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackridge::internal {

class owner_calls;

/// \brief Receiver of a response: a caller of this node, or a peer that forwarded its caller's
/// request.
struct waiter
{
    call_id call = 0;
    std::string peer; ///< Empty for a caller of this node.
};

/// \brief Handles callers' requests at the node that received them or that owns their request id.
///
/// Determines the route and the customer, asks the ledger about the request id, applies the
/// customer's rate and passes the request to the dispatcher.
class caller_request_handler
{
public:
    struct dependencies
    {
        config_service &config;
        quota_service &quota;
        ledger &requestLedger;
        handle_table &handles;
        overlay &membership;
        node_counters &counters;
        random_source &random;
    };

    explicit caller_request_handler(const dependencies &components);

    /// \brief Sets the dispatcher, which reports outcomes to outcome(). Must be called before the
    /// first event.
    void connect(dispatcher &target, owner_calls &forwarder);

    void callerRequest(call_id call, http_request request, time_point now, action_list &out);
    void callerDisconnected(call_id call, time_point now, action_list &out);
    /// \brief Handles a call that a peer forwarded because this node owns its request id.
    void ownerCall(const node_ref &from, owner_call message, time_point now, action_list &out);
    /// \brief Handles the outcome of a request that was passed to the dispatcher.
    void outcome(dispatcher::request_number requestNumber, request_outcome result, time_point now,
                 action_list &out);
    /// \brief Tries again to charge the requests that wait for tokens; must be called when tokens
    /// have arrived.
    void tokensArrived(time_point now, action_list &out);
    void tick(time_point now, action_list &out);

    /// \brief Stops issuing request ids, because the node is about to hand over its ledger.
    void stopIssuingIds() { m_issuingIds = false; }
    /// \brief Refuses new requests from now on. Onward calls of running requests are still served.
    void refuseNewRequests() { m_refusingNew = true; }
    bool idle() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }

private:
    using pending_id = std::uint64_t;
    struct pending_request
    {
        std::vector<waiter> waiters;
        owned_request work; ///< Moved to the dispatcher once the rate is charged.
        std::optional<ledger_key> key;
        std::optional<run_id> parent; ///< Set for an onward call.
        onward_call_budget onwardBudget;
        std::string route;
        trace_context trace; ///< Span of this request at this node.
        std::array<std::uint8_t, 8> parentSpan{};
        time_point started;
        time_point tokenWaitDeadline;
        bool countedAsDemand = false; ///< Set after the first attempt to spend a token.
        dispatcher::request_number requestNumber = 0;
    };
    /// \brief A request with its route and customer, before the decision on its request id.
    struct admitted_call
    {
        waiter from;
        http_request request;
        const bound_route *route = nullptr;
        std::string customer;
        running_request *parent = nullptr;
        trace_context trace;
        duration deadlineLeft{};
    };

    void serveRequestIds(call_id call, const http_request &request, time_point now,
                         action_list &out);
    tl::expected<std::string, error_kind> customerOf(const http_request &request, time_point now);
    tl::expected<admitted_call, error_kind> authorize(call_id call, http_request &request,
                                                      time_point now);
    void admit(admitted_call call, time_point now, action_list &out);
    void admitWithId(admitted_call call, time_point now, action_list &out);
    void applyDecision(admitted_call call, const ledger_decision &decision, time_point now,
                       action_list &out);
    void begin(admitted_call call, std::optional<ledger_key> key, time_point now, action_list &out);
    owned_request makeOwnedRequest(admitted_call &call, const pending_request &target,
                                   time_point now);
    bool openOnwardCall(admitted_call &call, pending_request &target);
    void chargeRate(pending_id id, time_point now, action_list &out);
    void dispatchRequest(pending_id id, time_point now, action_list &out);
    /// \returns a refusal of a request that needs an id. A refusal with `not-run` contains a new
    /// id, since the refused id can never run.
    request_outcome makeRefusal(error_kind kind, run_state state, time_point now);
    void reject(const waiter &to, error_kind kind, time_point now, action_list &out);
    void finish(pending_id id, request_outcome result, time_point now, action_list &out);
    void recordOutcome(const pending_request &ended, const request_outcome &result);
    void respond(const waiter &to, const request_outcome &result, action_list &out);
    void emitSpan(const pending_request &ended, const request_outcome &result, time_point now,
                  action_list &out) const;

    config_service &m_config;
    quota_service &m_quota;
    ledger &m_ledger;
    handle_table &m_handles;
    overlay &m_membership;
    node_counters &m_counters;
    random_source &m_random;
    dispatcher *m_dispatcher = nullptr;
    owner_calls *m_ownerCalls = nullptr;
    std::unordered_map<pending_id, pending_request> m_requests;
    std::unordered_map<dispatcher::request_number, pending_id> m_byRequestNumber;
    std::map<ledger_key, pending_id> m_byKey;
    std::unordered_map<call_id, pending_id> m_byCall;
    std::vector<pending_id> m_waitingForTokens; ///< In order of arrival.
    pending_id m_nextId = 1;
    bool m_issuingIds = true;
    bool m_refusingNew = false;
};

} // namespace tamarackridge::internal
