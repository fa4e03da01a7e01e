#include "core/node/caller_request_handler.h"

#include "core/node/error_response.h"
#include "core/node/forwarded_headers.h"
#include "core/node/owner_calls.h"

#include <algorithm>

namespace tamarackridge::internal {
namespace {

// A grant from another zone takes a few milliseconds; a longer wait only delays the refusal.
constexpr duration tokenPatience = std::chrono::milliseconds(25);

} // namespace

void entry::start(entry_id id, time_point now, action_list &out)
{
    entry_request &target = m_requests.at(id);
    const std::string &customer = target.work.context.customer;
    // The rate is charged once, where the request enters.
    if (target.parent || customer.empty()) {
        proceed(id, now, out);
        return;
    }
    const bool spent =
            target.counted ? m_quota.retrySpend(customer, now) : m_quota.trySpend(customer, now);
    if (spent) {
        proceed(id, now, out);
        return;
    }
    if (!target.counted) {
        target.counted = true;
        target.waitsUntil = std::min(now + tokenPatience, target.work.deadline);
        if (m_quota.expectsGrant(customer, now)) {
            m_waiting.push_back(id);
            m_quota.exchange(now, out);
            return;
        }
    }
    finish(id, {run_state::not_run, error_kind::rate_exceeded, {}, 0}, now, out);
}

void entry::proceed(entry_id id, time_point now, action_list &out)
{
    entry_request &target = m_requests.at(id);
    // The dispatcher may report the outcome before start() returns, so the entry is found through
    // the number that start() is about to use.
    const dispatcher::request_number owned = m_dispatcher->nextRequestNumber();
    target.owned = owned;
    m_byOwned.emplace(owned, id);
    m_dispatcher->start(std::move(target.work), now, out);
}

void entry::tokensArrived(time_point now, action_list &out)
{
    std::vector<entry_id> stillWaiting;
    const std::vector<entry_id> candidates = std::move(m_waiting);
    m_waiting.clear();
    for (entry_id id : candidates) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        if (m_quota.retrySpend(found->second.work.context.customer, now)) {
            proceed(id, now, out);
        } else if (now >= found->second.waitsUntil) {
            finish(id, {run_state::not_run, error_kind::rate_exceeded, {}, 0}, now, out);
        } else {
            stillWaiting.push_back(id);
        }
    }
    m_waiting.insert(m_waiting.begin(), stillWaiting.begin(), stillWaiting.end());
}

void entry::tick(time_point now, action_list &out)
{
    if (!m_waiting.empty())
        tokensArrived(now, out);
}

void entry::outcome(dispatcher::request_number owned, request_outcome result, time_point now,
                    action_list &out)
{
    const auto found = m_byOwned.find(owned);
    if (found != m_byOwned.end())
        finish(found->second, std::move(result), now, out);
}

request_outcome entry::refusalOf(error_kind kind, run_state state, time_point now)
{
    request_outcome result{state, kind, {}, 0};
    if (state == run_state::not_run && m_issuing)
        result.response.headers.push_back({std::string(header::requestId), m_ids.issue(now)});
    return result;
}

void entry::recordOutcome(const entry_request &ended, const request_outcome &result)
{
    if (!ended.key)
        return;
    m_byKey.erase(*ended.key);
    if (result.state == run_state::ran)
        m_ids.answered(*ended.key, result.response);
    else if (result.state == run_state::not_run)
        m_ids.refused(*ended.key);
    else
        m_ids.outcomeUnknown(*ended.key);
}

void entry::finish(entry_id id, request_outcome result, time_point now, action_list &out)
{
    const auto found = m_requests.find(id);
    const entry_request ended = std::move(found->second);
    m_requests.erase(found);
    m_byOwned.erase(ended.owned);
    if (!result.error)
        result.response.headers = responseHeaders(result.response.headers);
    recordOutcome(ended, result);
    if (ended.key && result.error)
        result.response = refusalOf(*result.error, result.state, now).response;
    if (ended.parent) {
        if (running_request *parent = m_handles.findRun(*ended.parent))
            parent->attempts.close(ended.part, result.attemptsUnused);
    }
    emitSpan(ended, result, now, out);
    for (const waiter &to : ended.waiters) {
        if (to.peer.empty())
            m_byCall.erase(to.call);
        responseWaiter(to, result, out);
    }
}

void entry::responseWaiter(const waiter &to, const request_outcome &result, action_list &out)
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

void entry::reject(const waiter &to, error_kind kind, time_point, action_list &out)
{
    responseWaiter(to, {responseFor(kind).state, kind, {}, 0}, out);
}

void entry::callerDisconnected(call_id call, time_point now, action_list &out)
{
    m_ownerCalls->callerDisconnected(call);
    const auto found = m_byCall.find(call);
    if (found == m_byCall.end())
        return;
    const entry_id id = found->second;
    m_byCall.erase(found);
    entry_request &target = m_requests.at(id);
    std::erase_if(target.waiters, [call](const waiter &candidate) {
        return candidate.peer.empty() && candidate.call == call;
    });
    // A write goes on without its caller, so that a resend can learn the outcome.
    if (!target.waiters.empty() || target.key)
        return;
    if (target.owned != 0)
        m_dispatcher->abandon(target.owned, now, out);
    m_byOwned.erase(target.owned);
    m_requests.erase(id);
}

void entry::emitSpan(const entry_request &ended, const request_outcome &result, time_point now,
                     action_list &out) const
{
    if (!ended.trace.sampled)
        return;
    const std::string outcome = result.error ? std::string(responseFor(*result.error).name)
                                             : std::to_string(result.response.status);
    out.push_back(emit_span{ended.trace, ended.parentSpan, "entry", ended.began, now, ended.route,
                            outcome});
}

} // namespace tamarackridge::internal
