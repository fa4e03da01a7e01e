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

/// \brief Somebody who gets the answer of a request: a caller here, or a peer that forwarded one.
struct waiter
{
    call_id call = 0;
    std::string peer; ///< Empty: a caller of this node.
};

/// \brief Takes callers' requests: finds route and customer, decides on ids and rates.
class entry
{
public:
    struct parts
    {
        config_service &config;
        quota_service &quota;
        ledger &ids;
        handle_table &handles;
        overlay &membership;
        node_counters &counters;
        random_source &random;
    };

    explicit entry(const parts &collaborators);

    /// \brief Connects the dispatcher, which in turn reports outcomes to finish().
    void connect(dispatcher &target, owner_calls &forwarder);

    void callerRequest(call_id call, http_request request, time_point now, action_list &out);
    void callerDisconnected(call_id call, time_point now, action_list &out);
    /// \brief A peer forwarded a call whose request id this node owns.
    void ownerCall(const node_ref &from, owner_call message, time_point now, action_list &out);
    void outcome(dispatcher::request_number owned, request_outcome result, time_point now,
                 action_list &out);
    /// \brief Tokens have arrived: requests that wait for them are tried again.
    void tokensArrived(time_point now, action_list &out);
    void tick(time_point now, action_list &out);

    /// \brief Issues no more request ids, since the node is about to hand its ledger over.
    void stopIssuing() { m_issuing = false; }
    /// \brief From now on new requests are refused; onward calls of running ones are still served.
    void refuseNew() { m_refusing = true; }
    bool idle() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }

private:
    using entry_id = std::uint64_t;
    struct entry_request
    {
        std::vector<waiter> waiters;
        owned_request work; ///< Moved to the dispatcher when the tokens are there.
        std::optional<ledger_key> key;
        std::optional<run_id> parent; ///< Set for an onward call.
        onward_call_budget part;
        std::string route;
        trace_context trace; ///< The entry span.
        std::array<std::uint8_t, 8> parentSpan{};
        time_point began;
        time_point waitsUntil;
        bool counted = false; ///< The customer's tokens were asked for before.
        dispatcher::request_number owned = 0;
    };
    /// \brief A request with its route and rights, before the decision on its id.
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
    owned_request ownedRequest(admitted_call &call, const entry_request &target, time_point now);
    bool openOnward(admitted_call &call, entry_request &target);
    void start(entry_id id, time_point now, action_list &out);
    void proceed(entry_id id, time_point now, action_list &out);
    /// \returns a refusal of a request with an id; after `not-run` it carries a fresh id, since the
    /// refused one is never run.
    request_outcome refusalOf(error_kind kind, run_state state, time_point now);
    void reject(const waiter &to, error_kind kind, time_point now, action_list &out);
    void finish(entry_id id, request_outcome result, time_point now, action_list &out);
    void recordOutcome(const entry_request &ended, const request_outcome &result);
    void responseWaiter(const waiter &to, const request_outcome &result, action_list &out);
    void emitSpan(const entry_request &ended, const request_outcome &result, time_point now,
                  action_list &out) const;

    config_service &m_config;
    quota_service &m_quota;
    ledger &m_ids;
    handle_table &m_handles;
    overlay &m_membership;
    node_counters &m_counters;
    random_source &m_random;
    dispatcher *m_dispatcher = nullptr;
    owner_calls *m_ownerCalls = nullptr;
    std::unordered_map<entry_id, entry_request> m_requests;
    std::unordered_map<dispatcher::request_number, entry_id> m_byOwned;
    std::map<ledger_key, entry_id> m_byKey;
    std::unordered_map<call_id, entry_id> m_byCall;
    std::vector<entry_id> m_waiting; ///< For tokens, in order of arrival.
    entry_id m_nextEntry = 1;
    bool m_issuing = true;
    bool m_refusing = false;
};

} // namespace tamarackridge::internal
