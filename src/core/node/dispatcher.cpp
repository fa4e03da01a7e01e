#include "core/node/dispatcher.h"

#include <algorithm>

namespace tamarackridge::internal {
namespace {

// The request may have crashed the backend server. The retry is delayed until the next executor has
// received the quarantine entry about it.
constexpr duration crashPropagationDelay = std::chrono::milliseconds(50);
// Bounds the memory for expired dispatches whose response may still arrive. Above this number the
// oldest are dropped.
constexpr std::size_t maxExpiredDispatches = 10'000;

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
    // These refusals do not depend on the health of the executor.
    case error_kind::cancelled:
    case error_kind::leaving:
    case error_kind::request_quarantined:
        return run_outcome::cancelled;
    default:
        return run_outcome::failed;
    }
}

} // namespace

dispatcher::dispatcher(node_ref self, overlay &membership, router &routes, executor &localExecutor,
                       node_counters &counters, random_source &random, retry_budget_table retries,
                       attempt_timeout attemptTimeout, outcome_sink sink,
                       late_response_sink lateResponseSink)
    : m_self(std::move(self))
    , m_membership(membership)
    , m_routes(routes)
    , m_executor(localExecutor)
    , m_counters(counters)
    , m_random(random)
    , m_outcomeSink(std::move(sink))
    , m_lateResponseSink(std::move(lateResponseSink))
    , m_retries(std::move(retries))
    , m_attemptTimeout(attemptTimeout)
{ }

dispatcher::request_number dispatcher::start(owned_request request, time_point now,
                                             action_list &out)
{
    const request_number requestNumber = m_nextRequestNumber++;
    progress &work = m_requests[requestNumber];
    work.attempts = attempt_budget(request.context.attempts);
    work.request = std::move(request);
    m_retries.forService(work.request.context.service).onFirstAttempt(now);
    attempt(requestNumber, now, out);
    return requestNumber;
}

void dispatcher::attempt(request_number requestNumber, time_point now, action_list &out)
{
    progress &work = m_requests.at(requestNumber);
    if (now >= work.request.deadline) {
        fail(requestNumber, error_kind::deadline_exceeded, now, out);
        return;
    }
    const request_context &context = work.request.context;
    const tl::expected<std::string_view, error_kind> target =
            m_routes.choose(context.service, context.priorityRank, work.tried, now, m_random);
    if (!target) {
        // The error of an earlier attempt is more specific than the lack of another executor.
        fail(requestNumber, work.lastError.value_or(target.error()), now, out);
        return;
    }
    work.attemptShare = work.attempts.takeShare();
    if (work.attemptShare == 0) {
        fail(requestNumber, error_kind::retry_budget_exhausted, now, out);
        return;
    }
    const std::string node(*target);
    send(requestNumber, node, now, out);
}

void dispatcher::send(request_number requestNumber, std::string_view node, time_point now,
                      action_list &out)
{
    progress &work = m_requests.at(requestNumber);
    work.dispatchSequence = m_nextSequence++;
    work.executorNode = std::string(node);
    const directory::record *known = m_membership.members().find(node);
    work.executorIncarnation = known == nullptr ? 0 : known->info.node.incarnation;
    work.executorServer = known == nullptr ? std::nullopt : known->info.server;
    work.sent = now;
    work.attemptDeadline = work.request.deadline + responseGrace;
    // The other half of the time remains for another executor if this one does not respond.
    if (m_attemptTimeout == attempt_timeout::half_remaining && work.request.context.idempotent
        && work.attempts.remaining() > 0)
        work.attemptDeadline = now + (work.request.deadline - now) / 2;
    m_dispatches.emplace(work.dispatchSequence, requestNumber);
    m_routes.onDispatched(node, now);
    m_counters.add(node_counter::dispatches);

    dispatch message{{m_self.incarnation, work.dispatchSequence},
                     work.request.context,
                     work.request.request};
    message.context.deadlineLeft = work.request.deadline - now;
    message.context.chainAge = now - work.request.chainStart;
    message.context.attempts = work.attemptShare;
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
        handleLateResponse(response);
        return;
    }
    const auto found = m_requests.find(dispatched->second);
    if (found == m_requests.end() || found->second.executorNode != from) {
        m_counters.add(node_counter::unmatched_answers);
        return;
    }
    completeAttempt(found, std::move(response), now, out);
}

void dispatcher::completeAttempt(request_map::iterator found, dispatch_response response,
                                 time_point now, action_list &out)
{
    const request_number requestNumber = found->first;
    progress &work = found->second;
    recordAttemptEnd(work, response, now);
    if (response.state != run_state::not_run)
        work.mayHaveRun = true;
    if (mayRetry(work, response, now)) {
        m_counters.add(node_counter::retries);
        if (response.error == error_kind::backend_failed)
            work.retryAt = now + crashPropagationDelay;
        else
            attempt(requestNumber, now, out);
        return;
    }
    if (response.error) {
        fail(requestNumber, *response.error, now, out);
        return;
    }
    finish(requestNumber, {run_state::ran, std::nullopt, std::move(response.response), 0}, now,
           out);
}

void dispatcher::recordAttemptEnd(progress &work, const dispatch_response &response, time_point now)
{
    m_dispatches.erase(work.dispatchSequence);
    work.dispatchSequence = 0;
    const executor_load *load = response.load ? &*response.load : nullptr;
    m_routes.onResponse(work.executorNode, now - work.sent, routingOutcome(response), load, now);
    // A leaving node refuses requests before they reach a backend server, so its refusal uses no
    // attempt. Each node is tried once, which bounds the repetitions.
    const bool usedNone = response.error == error_kind::leaving;
    work.attempts.returnUnused(work.attemptShare,
                               usedNone ? work.attemptShare : response.attemptsUnused);
    work.tried.push_back(work.executorNode);
    work.lastError = response.error;
    work.lastAttemptNotRun = response.state == run_state::not_run;
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
    // A request that reached no backend server added no load to the service, so its retry does not
    // count against the retry budget.
    const bool reachedNoBackendServer =
            response.error == error_kind::leaving
            || (refusedBeforeRunning && response.error == error_kind::no_backend_server);
    if (reachedNoBackendServer)
        return true;
    return m_retries.forService(work.request.context.service).tryRetry(now);
}

void dispatcher::fail(request_number requestNumber, error_kind kind, time_point now,
                      action_list &out)
{
    const progress &work = m_requests.at(requestNumber);
    request_outcome outcome;
    outcome.error = kind;
    outcome.state = responseFor(kind).state;
    if (work.mayHaveRun)
        outcome.state = run_state::unknown;
    else if (work.lastAttemptNotRun)
        outcome.state = run_state::not_run;
    finish(requestNumber, std::move(outcome), now, out);
}

void dispatcher::finish(request_number requestNumber, request_outcome outcome, time_point now,
                        action_list &out)
{
    const auto found = m_requests.find(requestNumber);
    outcome.attemptsUnused = found->second.attempts.remaining();
    outcome.executorNode = found->second.executorNode;
    m_requests.erase(found);
    m_outcomeSink(requestNumber, std::move(outcome), now, out);
}

attempt_summary dispatcher::attemptsOf(request_number requestNumber) const
{
    const auto found = m_requests.find(requestNumber);
    if (found == m_requests.end())
        return {};
    const progress &work = found->second;
    const std::size_t inProgress = work.dispatchSequence == 0 ? 0 : 1;
    return {work.executorNode, static_cast<std::uint32_t>(work.tried.size() + inProgress)};
}

std::optional<server_start> dispatcher::serverOf(const dispatch_id &id) const
{
    const auto dispatched = m_dispatches.find(id.sequence);
    if (id.owner != m_self.incarnation || dispatched == m_dispatches.end())
        return std::nullopt;
    const auto found = m_requests.find(dispatched->second);
    return found == m_requests.end() ? std::nullopt : found->second.executorServer;
}

void dispatcher::abandon(request_number requestNumber, time_point now, action_list &out)
{
    const auto found = m_requests.find(requestNumber);
    if (found == m_requests.end() || !found->second.request.context.idempotent)
        return;
    progress &work = found->second;
    if (work.dispatchSequence == 0) {
        m_requests.erase(found);
        return;
    }
    const dispatch_id id{m_self.incarnation, work.dispatchSequence};
    const std::string node = work.executorNode;
    dispatch_response abandoned;
    abandoned.error = error_kind::cancelled;
    recordAttemptEnd(work, abandoned, now);
    m_requests.erase(found);
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

std::vector<dispatcher::request_number>
dispatcher::requestsOnEarlierProcess(std::string_view node, incarnation_id current) const
{
    std::vector<request_number> found;
    for (const auto &[requestNumber, work] : m_requests) {
        if (work.executorNode == node && work.executorIncarnation != current
            && work.dispatchSequence != 0)
            found.push_back(requestNumber);
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::vector<dispatcher::request_number>
dispatcher::idempotentRequestsOn(std::string_view node) const
{
    std::vector<request_number> found;
    for (const auto &[requestNumber, work] : m_requests) {
        if (work.executorNode == node && work.request.context.idempotent
            && work.dispatchSequence != 0)
            found.push_back(requestNumber);
    }
    std::sort(found.begin(), found.end());
    return found;
}

void dispatcher::executorSuspected(std::string_view node, time_point now, action_list &out)
{
    for (request_number requestNumber : idempotentRequestsOn(node)) {
        const auto found = m_requests.find(requestNumber);
        if (found == m_requests.end())
            continue;
        const progress &work = found->second;
        const std::string &service = work.request.context.service;
        if (work.attempts.remaining() > 0 && m_retries.forService(service).canRetry(now)
            && m_routes.hasAlternative(service, node, work.tried))
            expireAttempt(requestNumber, now, out);
    }
}

void dispatcher::executorLost(std::string_view node, time_point now, action_list &out)
{
    for (request_number requestNumber : idempotentRequestsOn(node))
        expireAttempt(requestNumber, now, out);
}

void dispatcher::executorRestarted(std::string_view node, incarnation_id current, time_point now,
                                   action_list &out)
{
    // The responses of that process cannot come any more, so that requests that must not be
    // repeated end, too.
    for (request_number requestNumber : requestsOnEarlierProcess(node, current))
        expireAttempt(requestNumber, now, out);
}

void dispatcher::expireAttempt(request_number requestNumber, time_point now, action_list &out)
{
    const auto found = m_requests.find(requestNumber);
    if (found == m_requests.end())
        return;
    progress &work = found->second;
    if (work.executorNode != m_self.name)
        m_membership.send(work.executorNode,
                          dispatch_cancel{{m_self.incarnation, work.dispatchSequence}}, out);
    trackLateResponse(work);
    dispatch_response noResponse;
    noResponse.state = run_state::unknown;
    noResponse.error = error_kind::backend_timeout;
    completeAttempt(found, std::move(noResponse), now, out);
}

void dispatcher::trackLateResponse(const progress &work)
{
    if (!work.request.key)
        return;
    if (m_expiredDispatches.size() >= maxExpiredDispatches)
        m_expiredDispatches.erase(m_expiredDispatches.begin());
    m_expiredDispatches.emplace(work.dispatchSequence, *work.request.key);
}

void dispatcher::handleLateResponse(const dispatch_response &response)
{
    const auto found = m_expiredDispatches.find(response.id.sequence);
    if (response.id.owner != m_self.incarnation || found == m_expiredDispatches.end())
        return;
    if (response.state == run_state::ran)
        m_lateResponseSink(found->second, response.response);
    m_expiredDispatches.erase(found);
}

void dispatcher::limitDeadlines(time_point latest)
{
    for (auto &[requestNumber, work] : m_requests)
        work.request.deadline = std::min(work.request.deadline, latest);
}

void dispatcher::tick(time_point now, action_list &out)
{
    std::vector<request_number> due;
    for (const auto &[requestNumber, work] : m_requests) {
        const bool awaitingResponse = work.dispatchSequence != 0;
        if (now >= (awaitingResponse ? work.attemptDeadline : work.retryAt))
            due.push_back(requestNumber);
    }
    std::sort(due.begin(), due.end());
    for (request_number requestNumber : due) {
        const auto found = m_requests.find(requestNumber);
        if (found == m_requests.end())
            continue;
        if (found->second.dispatchSequence != 0)
            expireAttempt(requestNumber, now, out);
        else
            attempt(requestNumber, now, out);
    }
}

} // namespace tamarackridge::internal
