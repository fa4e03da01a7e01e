#include "core/node/dispatcher.h"

#include <algorithm>

namespace tamarackridge::internal {
namespace {

// An executor's answer needs this long to travel after the deadline that it works towards.
constexpr duration responseGrace = std::chrono::milliseconds(50);
// The request may have crashed the backend server: the next executor is to know of the suspicion
// before it is asked to run it.
constexpr duration crashSpreadTime = std::chrono::milliseconds(50);
// Bounds the memory for answers that may still come; the oldest are forgotten first.
constexpr std::size_t maxLateDispatches = 10'000;

run_outcome routingOutcome(const dispatch_response &response)
{
    if (!response.error)
        return response.response.status == 503 ? run_outcome::overloaded : run_outcome::success;
    switch (*response.error) {
    case error_kind::overloaded:
    case error_kind::deadline_exceeded:
        return run_outcome::overloaded;
    case error_kind::backend_timeout:
        return run_outcome::timeout;
    // Refusals that say nothing about how well the executor serves.
    case error_kind::cancelled:
    case error_kind::leaving:
    case error_kind::request_quarantined:
        return run_outcome::cancelled;
    default:
        return run_outcome::failed;
    }
}

} // namespace

dispatcher::dispatcher(node_ref self, overlay &membership, router &routes, executor &ownExecutor,
                       node_counters &counters, random_source &random, retry_budget_table retries,
                       attempt_timeout patience, outcome_sink sink, late_sink lateSink)
    : m_self(std::move(self))
    , m_membership(membership)
    , m_routes(routes)
    , m_executor(ownExecutor)
    , m_counters(counters)
    , m_random(random)
    , m_sink(std::move(sink))
    , m_lateSink(std::move(lateSink))
    , m_retries(std::move(retries))
    , m_patience(patience)
{ }

dispatcher::request_number dispatcher::start(owned_request request, time_point now,
                                             action_list &out)
{
    const request_number owned = m_nextOwned++;
    progress &work = m_owned[owned];
    work.attempts = attempt_budget(request.context.attempts);
    work.request = std::move(request);
    m_retries.of(work.request.context.service).onFirstAttempt(now);
    attempt(owned, now, out);
    return owned;
}

void dispatcher::attempt(request_number owned, time_point now, action_list &out)
{
    progress &work = m_owned.at(owned);
    if (now >= work.request.deadline) {
        fail(owned, error_kind::deadline_exceeded, now, out);
        return;
    }
    const request_context &context = work.request.context;
    const tl::expected<std::string_view, error_kind> target =
            m_routes.choose(context.service, context.priorityRank, work.tried, now, m_random);
    if (!target) {
        // After an attempt, its error says more than that no other executor was left.
        fail(owned, work.lastError.value_or(target.error()), now, out);
        return;
    }
    work.part = work.attempts.takeShare();
    if (work.part == 0) {
        fail(owned, error_kind::retry_budget_exhausted, now, out);
        return;
    }
    const std::string node(*target);
    send(owned, node, now, out);
}

void dispatcher::send(request_number owned, std::string_view node, time_point now, action_list &out)
{
    progress &work = m_owned.at(owned);
    work.dispatchSequence = m_nextSequence++;
    work.executorNode = std::string(node);
    work.sent = now;
    work.attemptDeadline = work.request.deadline + responseGrace;
    // Half of the time stays for another executor when this one does not answer at all.
    if (m_patience == attempt_timeout::half_remaining && work.request.context.idempotent
        && work.attempts.remaining() > 0)
        work.attemptDeadline = now + (work.request.deadline - now) / 2;
    m_dispatches.emplace(work.dispatchSequence, owned);
    m_routes.onDispatched(node, now);
    m_counters.add(node_counter::dispatches);

    dispatch message{{m_self.incarnation, work.dispatchSequence},
                     work.request.context,
                     work.request.request};
    message.context.deadlineLeft = work.request.deadline - now;
    message.context.chainAge = now - work.request.chainStart;
    message.context.attempts = work.part;
    if (node == m_self.name)
        m_executor.accept(m_self, std::move(message), now, out);
    else
        m_membership.send(node, std::move(message), out);
}

void dispatcher::dispatchResponse(std::string_view from, dispatch_response response, time_point now,
                                  action_list &out)
{
    const auto dispatched = m_dispatches.find(response.id.sequence);
    if (response.id.owner != m_self.incarnation || dispatched == m_dispatches.end()) {
        m_counters.add(node_counter::unmatched_answers);
        lateResponse(response);
        return;
    }
    const auto found = m_owned.find(dispatched->second);
    if (found == m_owned.end() || found->second.executorNode != from) {
        m_counters.add(node_counter::unmatched_answers);
        return;
    }
    settle(found, std::move(response), now, out);
}

void dispatcher::settle(owned_map::iterator found, dispatch_response response, time_point now,
                        action_list &out)
{
    const request_number owned = found->first;
    progress &work = found->second;
    endAttempt(work, response, now);
    if (response.state == run_state::unknown)
        work.mayHaveRun = true;
    if (mayRetry(work, response, now)) {
        m_counters.add(node_counter::retries);
        if (response.error == error_kind::backend_failed)
            work.retryAt = now + crashSpreadTime;
        else
            attempt(owned, now, out);
        return;
    }
    if (response.error) {
        fail(owned, *response.error, now, out);
        return;
    }
    finish(owned, {run_state::ran, std::nullopt, std::move(response.response), 0}, now, out);
}

void dispatcher::endAttempt(progress &work, const dispatch_response &response, time_point now)
{
    m_dispatches.erase(work.dispatchSequence);
    work.dispatchSequence = 0;
    const executor_load *load = response.load ? &*response.load : nullptr;
    m_routes.onResponse(work.executorNode, now - work.sent, routingOutcome(response), load, now);
    work.attempts.returnUnused(work.part, response.attemptsUnused);
    work.tried.push_back(work.executorNode);
    work.lastError = response.error;
    work.lastRefused = response.state == run_state::not_run;
}

bool dispatcher::mayRetry(progress &work, const dispatch_response &response, time_point now)
{
    const bool refusedBeforeRunning = response.state == run_state::not_run;
    const bool failed = response.error.has_value() || response.response.status == 503;
    if (!failed || now >= work.request.deadline || work.attempts.remaining() == 0)
        return false;
    if (!refusedBeforeRunning && !work.request.context.idempotent)
        return false;
    if (response.error == error_kind::cancelled || response.error == error_kind::deadline_exceeded
        || response.error == error_kind::request_quarantined)
        return false;
    // A request that reached no backend server adds nothing to the load of the service.
    const bool arrivedNowhere =
            response.error == error_kind::leaving
            || (refusedBeforeRunning && response.error == error_kind::no_backend_server);
    if (arrivedNowhere)
        return true;
    return m_retries.of(work.request.context.service).tryRetry(now);
}

void dispatcher::fail(request_number owned, error_kind kind, time_point now, action_list &out)
{
    const progress &work = m_owned.at(owned);
    request_outcome outcome;
    outcome.error = kind;
    outcome.state = responseFor(kind).state;
    if (work.mayHaveRun)
        outcome.state = run_state::unknown;
    else if (work.lastRefused)
        outcome.state = run_state::not_run;
    finish(owned, std::move(outcome), now, out);
}

void dispatcher::finish(request_number owned, request_outcome outcome, time_point now,
                        action_list &out)
{
    const auto found = m_owned.find(owned);
    outcome.attemptsUnused = found->second.attempts.remaining();
    outcome.executorNode = found->second.executorNode;
    m_owned.erase(found);
    m_sink(owned, std::move(outcome), now, out);
}

void dispatcher::abandon(request_number owned, time_point now, action_list &out)
{
    const auto found = m_owned.find(owned);
    if (found == m_owned.end() || !found->second.request.context.idempotent)
        return;
    progress &work = found->second;
    if (work.dispatchSequence == 0) {
        m_owned.erase(found);
        return;
    }
    const dispatch_id id{m_self.incarnation, work.dispatchSequence};
    const std::string node = work.executorNode;
    dispatch_response abandoned;
    abandoned.error = error_kind::cancelled;
    endAttempt(work, abandoned, now);
    m_owned.erase(found);
    if (node == m_self.name)
        m_executor.cancel(id, now, out);
    else
        m_membership.send(node, dispatch_cancel{id}, out);
}

void dispatcher::dispatchNotSent(std::string_view node, std::uint64_t sequence, time_point now,
                                 action_list &out)
{
    dispatch_response unsent;
    unsent.id = {m_self.incarnation, sequence};
    unsent.state = run_state::not_run;
    unsent.error = error_kind::no_backend_server;
    dispatchResponse(node, std::move(unsent), now, out);
}

std::vector<dispatcher::request_number> dispatcher::idempotentOn(std::string_view node) const
{
    std::vector<request_number> found;
    for (const auto &[owned, work] : m_owned) {
        if (work.executorNode == node && work.request.context.idempotent
            && work.dispatchSequence != 0)
            found.push_back(owned);
    }
    std::sort(found.begin(), found.end());
    return found;
}

void dispatcher::executorSuspected(std::string_view node, time_point now, action_list &out)
{
    for (request_number owned : idempotentOn(node)) {
        const auto found = m_owned.find(owned);
        if (found == m_owned.end() || found->second.attempts.remaining() == 0
            || !m_retries.of(found->second.request.context.service).canRetry(now))
            continue;
        expireAttempt(owned, now, out);
    }
}

void dispatcher::executorLost(std::string_view node, time_point now, action_list &out)
{
    for (request_number owned : idempotentOn(node))
        expireAttempt(owned, now, out);
}

void dispatcher::expireAttempt(request_number owned, time_point now, action_list &out)
{
    const auto found = m_owned.find(owned);
    if (found == m_owned.end())
        return;
    progress &work = found->second;
    if (work.executorNode != m_self.name)
        m_membership.send(work.executorNode,
                          dispatch_cancel{{m_self.incarnation, work.dispatchSequence}}, out);
    rememberLate(work);
    dispatch_response silent;
    silent.state = run_state::unknown;
    silent.error = error_kind::backend_timeout;
    settle(found, std::move(silent), now, out);
}

void dispatcher::rememberLate(const progress &work)
{
    if (!work.request.key)
        return;
    if (m_late.size() >= maxLateDispatches)
        m_late.erase(m_late.begin());
    m_late.emplace(work.dispatchSequence, *work.request.key);
}

void dispatcher::lateResponse(const dispatch_response &response)
{
    const auto found = m_late.find(response.id.sequence);
    if (response.id.owner != m_self.incarnation || found == m_late.end())
        return;
    if (response.state == run_state::ran)
        m_lateSink(found->second, response.response);
    m_late.erase(found);
}

void dispatcher::tick(time_point now, action_list &out)
{
    std::vector<request_number> due;
    for (const auto &[owned, work] : m_owned) {
        const bool underWay = work.dispatchSequence != 0;
        if (now >= (underWay ? work.attemptDeadline : work.retryAt))
            due.push_back(owned);
    }
    std::sort(due.begin(), due.end());
    for (request_number owned : due) {
        const auto found = m_owned.find(owned);
        if (found == m_owned.end())
            continue;
        if (found->second.dispatchSequence != 0)
            expireAttempt(owned, now, out);
        else
            attempt(owned, now, out);
    }
}

} // namespace tamarackridge::internal
