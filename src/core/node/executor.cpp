#include "core/node/executor.h"

#include "core/node/trace.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace tamarackridge::internal {
namespace {

constexpr duration expiryInterval = std::chrono::seconds(5);
// Suspects run one at a time, so a longer line would keep requests waiting that another backend
// server could run.
constexpr std::size_t maxHeldSuspects = 8;
// Enough for the first responses to arrive soon, and few for a server that takes few requests.
constexpr std::uint32_t cautiousRuns = 8;
// A server that takes no requests is asked at this rate, in requests per second, to notice when it
// does again.
constexpr double minRate = 0.5;
// Responses that the server wrote before it named a limit can arrive after those that name it.
constexpr duration rateRetention = std::chrono::seconds(1);
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;

run_outcome limitOutcome(const backend_result &result)
{
    if (result.response) {
        const int status = result.response->status;
        return status == tooManyRequests || status == serviceUnavailable ? run_outcome::overloaded
                                                                         : run_outcome::success;
    }
    switch (result.response.error()) {
    case error_kind::backend_timeout:
        return run_outcome::timeout;
    case error_kind::cancelled:
        return run_outcome::cancelled;
    case error_kind::overloaded:
        return run_outcome::overloaded;
    default:
        return run_outcome::failed;
    }
}

} // namespace

executor::executor(run_headers &headers, const concurrency_limit_options &limit,
                   node_counters &counters, random_source &random, response_sink sink,
                   overlay_sink publishSink)
    : m_headers(headers)
    , m_counters(counters)
    , m_random(random)
    , m_responseSink(std::move(sink))
    , m_publishSink(std::move(publishSink))
    , m_limit(limit)
{ }

void executor::accept(const node_ref &owner, dispatch request, time_point now, action_list &out)
{
    // Dispatch ids are never reused, so this is a duplicate of a dispatch that is being handled.
    if (m_runsByDispatch.contains(request.id))
        return;
    const run_id run = m_nextRun++;
    m_runsByDispatch.emplace(request.id, run);
    execution &work = m_executions[run];
    work.id = request.id;
    work.owner = owner;
    work.deadline = now + request.context.deadlineLeft;
    work.chainStart = now - request.context.chainAge;
    work.context = std::move(request.context);
    work.request = std::move(request.request);
    if (m_refusalReason) {
        refuse(run, *m_refusalReason, now, out);
        return;
    }
    if (work.context.service != m_service) {
        refuse(run, error_kind::no_backend_server, now, out);
        return;
    }
    if (work.deadline <= now) {
        refuse(run, error_kind::deadline_exceeded, now, out);
        return;
    }
    const admission_result result =
            m_queue.enqueue({run, work.context.priorityRank, work.chainStart, work.deadline}, now);
    if (result.kind == admission::refused) {
        refuse(run,
               result.deadlineUnreachable ? error_kind::deadline_exceeded : error_kind::overloaded,
               now, out);
        return;
    }
    if (result.kind == admission::admitted_evicting)
        refuse(result.evicted, error_kind::overloaded, now, out);
    startReady(now, out);
}

void executor::startReady(time_point now, action_list &out)
{
    m_expired.clear();
    m_queue.takeExpired(now, m_expired);
    const std::vector<std::uint64_t> expired = m_expired;
    for (std::uint64_t run : expired)
        refuse(run, error_kind::deadline_exceeded, now, out);
    startHeldSuspects(now, out);
    while (!m_refusalReason && hasCapacity(now)) {
        const std::optional<std::uint64_t> run = m_queue.popReady(now);
        if (!run)
            return;
        if (startIfPermitted(*run, now, out))
            continue;
        if (m_heldSuspects.size() < maxHeldSuspects)
            m_heldSuspects.push_back(*run);
        else
            refuse(*run, error_kind::overloaded, now, out);
    }
}

bool executor::hasCapacity(time_point now)
{
    const std::uint32_t runs = m_limit.inFlight();
    return runs < m_limit.limit() && (!m_awaitsCondition || runs < cautiousRuns)
           && m_rateLimit.permits(now);
}

void executor::conditionReported(const server_condition &condition, time_point now)
{
    m_awaitsCondition = false;
    if (condition.rate == server_condition::rate_statement::limited) {
        m_rateLimit.set(std::max(condition.maxRate, minRate), now);
        m_rateNamedAt = now;
    } else if (condition.rate == server_condition::rate_statement::unlimited
               && now - m_rateNamedAt >= rateRetention) {
        m_rateLimit.clear();
    }
}

void executor::startHeldSuspects(time_point now, action_list &out)
{
    for (std::size_t count = m_heldSuspects.size(); count > 0; --count) {
        const run_id run = m_heldSuspects.front();
        m_heldSuspects.pop_front();
        if (m_executions.at(run).deadline <= now)
            refuse(run, error_kind::deadline_exceeded, now, out);
        else if (!hasCapacity(now) || !startIfPermitted(run, now, out))
            m_heldSuspects.push_back(run);
    }
}

bool executor::startIfPermitted(run_id run, time_point now, action_list &out)
{
    const run_decision decision = m_crashTracker.permissionFor(m_executions.at(run), now);
    if (decision.permission == run_permission::wait)
        return false;
    if (decision.permission == run_permission::refuse) {
        refuseQuarantined(run, decision.quarantined, now, out);
        return true;
    }
    m_limit.tryAcquire();
    m_rateLimit.take();
    m_crashTracker.onRunStarted(run, m_executions.at(run), decision);
    start(run, now, out);
    return true;
}

fingerprint_parts executor::execution::parts() const
{
    return {request.method, request.target, context.customer, bodyView(request.body)};
}

void executor::start(run_id run, time_point now, action_list &out)
{
    execution &work = m_executions.at(run);
    work.running = true;
    work.instance = m_instance;
    work.started = now;
    work.span = work.context.trace;
    work.span.spanId = newSpanId(m_random);
    m_counters.add(node_counter::runs);
    out.push_back(run_backend{run, backendRequest(run, work, now), work.deadline - now,
                              work.context.idempotent});
}

http_request executor::backendRequest(run_id run, execution &work, time_point now)
{
    http_request request;
    request.method = work.request.method;
    request.target = work.request.target;
    request.body = work.request.body;
    // Moves the headers: only the method, target and body are needed again, for the fingerprint of
    // the request after a crash.
    request.headers = std::move(work.request.headers);
    const starting_run starting{run, work.context, work.span, work.deadline, work.chainStart};
    m_headers.open(starting, now, request.headers);
    return request;
}

void executor::backendResponse(run_id run, backend_result result, time_point now, action_list &out)
{
    const auto found = m_executions.find(run);
    if (found == m_executions.end() || !found->second.running)
        return;
    const duration latency = now - found->second.started;
    m_limit.release(now, latency, limitOutcome(result));
    if (result.response)
        m_queue.observeServiceTime(latency, now);
    dispatch_response response = outcomeOf(result);
    if (response.state == run_state::unknown)
        recordInterruption(run, *response.error, now);
    else
        publish(m_crashTracker.onRunFinished(run, result.response.has_value(), now), out);
    if (result.response)
        response.response = std::move(*result.response);
    finish(run, std::move(response), now, out);
    startReady(now, out);
}

void executor::recordInterruption(run_id run, error_kind cause, time_point now)
{
    const std::optional<request_identity> identity = m_crashTracker.onRunInterrupted(run, now);
    // Callers that leave cancel many runs, none of which tells anything about the server.
    if (identity && m_quarantineObserver != nullptr && cause != error_kind::cancelled)
        m_quarantineObserver->runInterrupted(run, *identity, m_executions.at(run).request.target);
}

bool executor::isOnCurrentInstance(run_id run) const
{
    const auto found = m_executions.find(run);
    return found != m_executions.end() && found->second.instance == m_instance;
}

dispatch_response executor::outcomeOf(const backend_result &result) const
{
    dispatch_response response;
    if (result.response) {
        response.state = run_state::ran;
        return response;
    }
    response.error = result.response.error();
    response.state = result.bytesSent ? run_state::unknown : run_state::not_run;
    const bool isSpecificError =
            response.error == error_kind::cancelled || response.error == error_kind::overloaded;
    if (!result.bytesSent && !isSpecificError)
        response.error = error_kind::no_backend_server;
    return response;
}

void executor::refuse(run_id run, error_kind kind, time_point now, action_list &out)
{
    dispatch_response response;
    response.state = run_state::not_run;
    response.error = kind;
    m_counters.add(node_counter::runs_refused);
    finish(run, std::move(response), now, out);
}

void executor::refuseQuarantined(run_id run, const fingerprint &quarantined, time_point now,
                                 action_list &out)
{
    m_counters.add(node_counter::runs_refused_quarantined);
    if (m_quarantineObserver != nullptr)
        m_quarantineObserver->quarantinedRefused(m_executions.at(run).request, quarantined);
    refuse(run, error_kind::request_quarantined, now, out);
}

void executor::finish(run_id run, dispatch_response response, time_point now, action_list &out)
{
    const auto found = m_executions.find(run);
    if (found == m_executions.end())
        return;
    const execution work = std::move(found->second);
    m_executions.erase(found);
    m_runsByDispatch.erase(work.id);
    response.id = work.id;
    response.attemptsUnused = m_headers.close(run, work.context.attempts);
    if (response.state == run_state::unknown)
        m_counters.add(node_counter::runs_unknown);
    response.load = load(now);
    if (work.running)
        emitSpan(work, response, now, out);
    // Also a response that is ready after the deadline gets time to be sent.
    const time_point expiresAt = std::max(work.deadline, now) + responseGrace;
    m_responseSink({work.owner, std::move(response), expiresAt}, now, out);
}

void executor::emitSpan(const execution &work, const dispatch_response &response, time_point now,
                        action_list &out) const
{
    if (!work.span.sampled)
        return;
    const std::string outcome = response.error ? std::string(responseFor(*response.error).name)
                                               : std::to_string(response.response.status);
    out.push_back(emit_span{work.span, work.context.trace.spanId, "execute", work.started, now,
                            work.context.route, outcome});
}

void executor::cancel(const dispatch_id &id, time_point now, action_list &out)
{
    const auto found = m_runsByDispatch.find(id);
    if (found == m_runsByDispatch.end())
        return;
    const run_id run = found->second;
    if (m_queue.remove(run) || std::erase(m_heldSuspects, run) > 0) {
        refuse(run, error_kind::cancelled, now, out);
        return;
    }
    // The result of the cancelled run still arrives through backendResponse().
    if (m_executions.at(run).context.idempotent)
        out.push_back(cancel_run{run});
}

void executor::backendCrashed(time_point now, action_list &out)
{
    const std::vector<overlay_entry> entries = m_crashTracker.onCrash(now);
    for (const overlay_entry &entry : entries)
        m_counters.add(decodeCrashRecord(entry.key, entry.payload)->quarantined
                               ? node_counter::requests_quarantined
                               : node_counter::suspects_recorded);
    if (m_quarantineObserver != nullptr)
        m_quarantineObserver->crashAttributed(entries);
    publish(entries, out);
    stopAccepting(error_kind::no_backend_server, now, out);
}

bool executor::quarantineEntry(const overlay_entry &entry, time_point now)
{
    return m_crashTracker.onEntry(entry.key, entry.payload, now);
}

void executor::publish(const std::vector<overlay_entry> &entries, action_list &out)
{
    for (const overlay_entry &entry : entries)
        m_publishSink(entry, out);
}

void executor::backendReady(const backend_announcement &announcement, time_point now)
{
    m_refusalReason.reset();
    m_service = announcement.service;
    if (announcement.instance == m_instance)
        return;
    m_instance = announcement.instance;
    m_rateLimit.clear();
    m_limit.restart(now, announcement.slots);
}

void executor::stopAccepting(error_kind reason, time_point now, action_list &out)
{
    m_refusalReason = reason;
    while (const std::optional<std::uint64_t> run = m_queue.popReady(now))
        refuse(*run, reason, now, out);
    for (run_id run : std::exchange(m_heldSuspects, {}))
        refuse(run, reason, now, out);
    startReady(now, out);
}

void executor::tick(time_point now, action_list &out)
{
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        m_crashTracker.expire(now);
    }
    startReady(now, out);
}

executor_load executor::load(time_point now)
{
    std::uint32_t limit = m_limit.limit();
    if (const std::optional<double> &rate = m_rateLimit.perSecond()) {
        const double seconds = std::chrono::duration<double>(m_queue.serviceTime(now)).count();
        limit = std::min(limit, static_cast<std::uint32_t>(std::ceil(*rate * seconds)));
    }
    return {m_queue.shedThreshold(now), std::max(limit, 1U), m_limit.inFlight(), m_queue.size()};
}

} // namespace tamarackridge::internal
