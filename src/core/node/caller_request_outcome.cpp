#include "core/node/caller_request_handler.h"

#include "core/node/error_response.h"
#include "core/node/forwarded_headers.h"
#include "core/node/owner_calls.h"

#include <algorithm>

namespace tamarackridge::internal {
namespace {

// A token grant from another zone takes a few milliseconds, so a longer wait only delays the
// refusal.
constexpr duration tokenWaitTimeout = std::chrono::milliseconds(25);

} // namespace

void caller_request_handler::chargeRate(pending_id id, time_point now, action_list &out)
{
    pending_request &target = m_requests.at(id);
    const std::string &customer = target.work.context.customer;
    // A call chain is charged once, for the caller's request, and not for its onward calls.
    if (target.parent || customer.empty()) {
        dispatchRequest(id, now, out);
        return;
    }
    const bool spent = target.countedAsDemand ? m_quota.retrySpend(customer, now)
                                              : m_quota.trySpend(customer, now);
    if (spent) {
        dispatchRequest(id, now, out);
        return;
    }
    if (!target.countedAsDemand) {
        target.countedAsDemand = true;
        target.tokenWaitDeadline = std::min(now + tokenWaitTimeout, target.work.deadline);
        if (m_quota.expectsGrant(customer, now)) {
            m_waitingForTokens.push_back(id);
            m_quota.requestTokens(now, out);
            return;
        }
    }
    finish(id, {run_state::not_run, error_kind::rate_exceeded, {}, 0}, now, out);
}

void caller_request_handler::dispatchRequest(pending_id id, time_point now, action_list &out)
{
    pending_request &target = m_requests.at(id);
    // The dispatcher may report the outcome before start() returns, so the request is registered
    // beforehand under the number that start() will assign.
    const dispatcher::request_number requestNumber = m_dispatcher->nextRequestNumber();
    target.requestNumber = requestNumber;
    m_byRequestNumber.emplace(requestNumber, id);
    m_dispatcher->start(std::move(target.work), now, out);
}

void caller_request_handler::tokensArrived(time_point now, action_list &out)
{
    std::vector<pending_id> stillWaiting;
    const std::vector<pending_id> candidates = std::move(m_waitingForTokens);
    m_waitingForTokens.clear();
    for (pending_id id : candidates) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        if (m_quota.retrySpend(found->second.work.context.customer, now)) {
            dispatchRequest(id, now, out);
        } else if (now >= found->second.tokenWaitDeadline) {
            finish(id, {run_state::not_run, error_kind::rate_exceeded, {}, 0}, now, out);
        } else {
            stillWaiting.push_back(id);
        }
    }
    m_waitingForTokens.insert(m_waitingForTokens.begin(), stillWaiting.begin(), stillWaiting.end());
}

void caller_request_handler::tick(time_point now, action_list &out)
{
    if (!m_waitingForTokens.empty())
        tokensArrived(now, out);
}

void caller_request_handler::outcome(dispatcher::request_number requestNumber,
                                     request_outcome result, time_point now, action_list &out)
{
    const auto found = m_byRequestNumber.find(requestNumber);
    if (found != m_byRequestNumber.end())
        finish(found->second, std::move(result), now, out);
}

request_outcome caller_request_handler::makeRefusal(error_kind kind, run_state state,
                                                    time_point now)
{
    request_outcome result{state, kind, {}, 0};
    if (state == run_state::not_run && m_issuingIds)
        result.response.headers.push_back({std::string(header::requestId), m_ledger.issue(now)});
    return result;
}

void caller_request_handler::recordOutcome(const pending_request &ended,
                                           const request_outcome &result)
{
    if (!ended.key)
        return;
    m_byKey.erase(*ended.key);
    if (result.state == run_state::ran)
        m_ledger.answered(*ended.key, result.response);
    else if (result.state == run_state::not_run)
        m_ledger.refused(*ended.key);
    else
        m_ledger.outcomeUnknown(*ended.key);
}

void caller_request_handler::finish(pending_id id, request_outcome result, time_point now,
                                    action_list &out)
{
    const auto found = m_requests.find(id);
    const pending_request ended = std::move(found->second);
    m_requests.erase(found);
    m_byRequestNumber.erase(ended.requestNumber);
    if (!result.error)
        result.response.headers = forwardedResponseHeaders(result.response.headers);
    recordOutcome(ended, result);
    if (ended.key && result.error)
        result.response = makeRefusal(*result.error, result.state, now).response;
    if (ended.parent) {
        if (running_request *parent = m_handles.findRun(*ended.parent))
            parent->attempts.close(ended.onwardBudget, result.attemptsUnused);
    }
    emitSpan(ended, result, now, out);
    for (const waiter &to : ended.waiters) {
        if (to.peer.empty())
            m_byCall.erase(to.call);
        respond(to, result, out);
    }
}

void caller_request_handler::respond(const waiter &to, const request_outcome &result,
                                     action_list &out)
{
    m_counters.add(result.error ? node_counter::calls_refused : node_counter::calls_answered);
    if (!to.peer.empty()) {
        m_membership.send(
                to.peer, owner_response{to.call, result.state, result.error, result.response}, out);
        return;
    }
    out.push_back(respond_to_caller{to.call,
                                    callerResponse(result.error, result.state, result.response)});
}

void caller_request_handler::reject(const waiter &to, error_kind kind, time_point, action_list &out)
{
    respond(to, {responseFor(kind).state, kind, {}, 0}, out);
}

void caller_request_handler::callerDisconnected(call_id call, time_point now, action_list &out)
{
    m_ownerCalls->callerDisconnected(call);
    const auto found = m_byCall.find(call);
    if (found == m_byCall.end())
        return;
    const pending_id id = found->second;
    m_byCall.erase(found);
    pending_request &target = m_requests.at(id);
    std::erase_if(target.waiters, [call](const waiter &candidate) {
        return candidate.peer.empty() && candidate.call == call;
    });
    // A request with an id continues after its caller has disconnected, so that a resend can get
    // the outcome.
    if (!target.waiters.empty() || target.key)
        return;
    if (target.requestNumber != 0)
        m_dispatcher->abandon(target.requestNumber, now, out);
    m_byRequestNumber.erase(target.requestNumber);
    m_requests.erase(id);
}

void caller_request_handler::emitSpan(const pending_request &ended, const request_outcome &result,
                                      time_point now, action_list &out) const
{
    if (!ended.trace.sampled)
        return;
    const std::string outcome = result.error ? std::string(responseFor(*result.error).name)
                                             : std::to_string(result.response.status);
    out.push_back(emit_span{ended.trace, ended.parentSpan, "entry", ended.started, now, ended.route,
                            outcome});
}

} // namespace tamarackridge::internal
