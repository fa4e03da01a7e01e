#include "core/node/caller_request_handler.h"

#include "core/node/error_response.h"
#include "core/node/forwarded_headers.h"
#include "core/node/owner_calls.h"
#include "core/node/request_digest.h"
#include "core/node/trace.h"

#include <algorithm>
#include <charconv>

namespace tamarackridge::internal {
namespace {

constexpr std::string_view requestIdsPath = "/.tamarackridge/request-ids";
constexpr std::string_view bearerPrefix = "Bearer ";

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const std::from_chars_result end =
            std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || end.ec != std::errc() || end.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// A caller can shorten the deadline of the route but cannot extend it.
duration callDeadline(const http_request &request, const bound_route &route)
{
    const duration limit = route.definition->deadline;
    const std::optional<std::int64_t> wanted =
            parseInteger(headerValue(request.headers, header::deadline));
    if (!wanted || *wanted < 0)
        return limit;
    const std::int64_t limitMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    return std::chrono::milliseconds(std::min(*wanted, limitMs));
}

} // namespace

caller_request_handler::caller_request_handler(const dependencies &components)
    : m_config(components.config)
    , m_quota(components.quota)
    , m_ledger(components.requestLedger)
    , m_handles(components.handles)
    , m_membership(components.membership)
    , m_counters(components.counters)
    , m_random(components.random)
{ }

void caller_request_handler::connect(dispatcher &target, owner_calls &forwarder)
{
    m_dispatcher = &target;
    m_ownerCalls = &forwarder;
}

void caller_request_handler::callerRequest(call_id call, http_request request, time_point now,
                                           action_list &out)
{
    m_counters.add(node_counter::calls);
    if (request.target.starts_with(requestIdsPath)) {
        serveRequestIds(call, request, now, out);
        return;
    }
    // An earlier send of a request with an id may have run; only the owner of the id knows.
    const bool mayHaveRun = !headerValue(request.headers, header::requestId).empty()
                            || !headerValue(request.headers, header::idempotencyKey).empty();
    tl::expected<admitted_call, error_kind> admitted = authorize(call, request, now);
    if (!admitted) {
        const run_state state =
                mayHaveRun ? run_state::unknown : responseFor(admitted.error()).state;
        respond({call, {}}, {state, admitted.error(), {}, 0}, out);
        return;
    }
    admit(std::move(*admitted), now, out);
}

tl::expected<std::string, error_kind>
caller_request_handler::customerOf(const http_request &request, time_point now)
{
    if (m_config.unconfirmed(now))
        return tl::unexpected(error_kind::configuration_unconfirmed);
    std::string_view key = headerValue(request.headers, header::authorization);
    if (!key.starts_with(bearerPrefix))
        return tl::unexpected(error_kind::key_missing);
    key.remove_prefix(bearerPrefix.size());
    const tl::expected<const customer *, error_kind> found = m_config.keys().verify(key);
    if (!found)
        return tl::unexpected(found.error());
    return (*found)->name;
}

tl::expected<caller_request_handler::admitted_call, error_kind>
caller_request_handler::authorize(call_id call, http_request &request, time_point now)
{
    if (m_config.current() == nullptr)
        return tl::unexpected(error_kind::not_configured);
    const tl::expected<const bound_route *, error_kind> route =
            m_config.current()->findRoute(request.method, request.target);
    if (!route)
        return tl::unexpected(route.error());
    admitted_call admitted;
    admitted.from = {call, {}};
    admitted.route = *route;
    admitted.deadlineLeft = callDeadline(request, **route);
    const std::string_view handle = headerValue(request.headers, header::handle);
    if (!handle.empty()) {
        admitted.parent = m_handles.find(handle);
        if (admitted.parent == nullptr)
            return tl::unexpected(error_kind::handle_invalid);
        admitted.customer = admitted.parent->context.customer;
        admitted.trace = admitted.parent->context.trace;
        if (admitted.customer.empty() && !(*route)->definition->open)
            return tl::unexpected(error_kind::key_missing);
        m_counters.add(node_counter::onward_calls);
    } else if (m_refusingNew) {
        return tl::unexpected(error_kind::leaving);
    } else {
        admitted.trace =
                parseTraceparent(headerValue(request.headers, header::traceparent), m_random);
        if (!(*route)->definition->open) {
            tl::expected<std::string, error_kind> owner = customerOf(request, now);
            if (!owner)
                return tl::unexpected(owner.error());
            admitted.customer = std::move(*owner);
        }
    }
    admitted.request = std::move(request);
    return admitted;
}

void caller_request_handler::admit(admitted_call call, time_point now, action_list &out)
{
    if (call.route->definition->idempotent) {
        begin(std::move(call), std::nullopt, now, out);
        return;
    }
    if (call.parent != nullptr && call.parent->context.idempotent) {
        reject(call.from, error_kind::non_idempotent_under_idempotent, now, out);
        return;
    }
    admitWithId(std::move(call), now, out);
}

void caller_request_handler::admitWithId(admitted_call call, time_point now, action_list &out)
{
    const std::uint64_t digest = requestDigest(call.request);
    const std::string_view onwardKey = headerValue(call.request.headers, header::idempotencyKey);
    if (call.parent != nullptr && !onwardKey.empty()) {
        const auto [known, isNew] = call.parent->onwardIds.try_emplace(std::string(onwardKey));
        if (isNew)
            known->second = m_ledger.reserve();
        const ledger_decision decision = m_ledger.begin(known->second, call.customer, digest, now);
        applyDecision(std::move(call), decision, now, out);
        return;
    }
    const std::string_view text = headerValue(call.request.headers, header::requestId);
    if (text.empty() && !m_issuingIds) {
        reject(call.from, error_kind::leaving, now, out);
        return;
    }
    if (text.empty()) {
        respond(call.from, makeRefusal(error_kind::request_id_required, run_state::not_run, now),
                out);
        return;
    }
    const std::optional<request_id> id = request_id::parse(text);
    if (!id) {
        reject(call.from, error_kind::request_id_invalid, now, out);
        return;
    }
    if (m_ledger.owns(id->owner.incarnation)) {
        const ledger_decision decision = m_ledger.begin(*id, call.customer, digest, now);
        applyDecision(std::move(call), decision, now, out);
        return;
    }
    const std::string idText(text);
    owner_call forwarded{
            0, idText, call.customer, call.deadlineLeft, call.trace, std::move(call.request)};
    forwarded.request.headers = forwardedRequestHeaders(forwarded.request.headers);
    m_ownerCalls->forward(call.from.call, *id, std::move(forwarded), now, out);
}

void caller_request_handler::ownerCall(const node_ref &from, owner_call message, time_point now,
                                       action_list &out)
{
    const waiter sender{message.call, from.name};
    const std::optional<request_id> id = request_id::parse(message.requestId);
    const config_set *set = m_config.current();
    if (!id || !m_ledger.owns(id->owner.incarnation) || set == nullptr) {
        reject(sender, error_kind::outcome_unknown, now, out);
        return;
    }
    const tl::expected<const bound_route *, error_kind> route =
            set->findRoute(message.request.method, message.request.target);
    if (!route || (*route)->definition->idempotent) {
        reject(sender, error_kind::request_id_invalid, now, out);
        return;
    }
    const std::uint64_t digest = requestDigest(message.request);
    admitted_call call;
    call.from = sender;
    call.request = std::move(message.request);
    call.route = *route;
    call.customer = message.customer;
    call.trace = message.trace;
    call.deadlineLeft = std::min(message.deadlineLeft, duration((*route)->definition->deadline));
    const ledger_decision decision = m_ledger.begin(*id, call.customer, digest, now);
    applyDecision(std::move(call), decision, now, out);
}

void caller_request_handler::applyDecision(admitted_call call, const ledger_decision &decision,
                                           time_point now, action_list &out)
{
    switch (decision.kind) {
    case ledger_decision::verdict::run:
        begin(std::move(call), decision.key, now, out);
        return;
    case ledger_decision::verdict::wait: {
        const auto running = m_byKey.find(decision.key);
        if (running == m_byKey.end()) {
            reject(call.from, error_kind::outcome_unknown, now, out);
            return;
        }
        m_requests.at(running->second).waiters.push_back(call.from);
        if (call.from.peer.empty())
            m_byCall.emplace(call.from.call, running->second);
        return;
    }
    case ledger_decision::verdict::replay:
        respond(call.from, {run_state::ran, std::nullopt, decision.response, 0}, out);
        return;
    case ledger_decision::verdict::refuse:
        respond(call.from, makeRefusal(decision.error, decision.state, now), out);
        return;
    }
}

bool caller_request_handler::openOnwardCall(admitted_call &call, pending_request &target)
{
    if (call.parent == nullptr)
        return true;
    const std::optional<onward_call_budget> budget =
            call.parent->attempts.open(requestDigest(call.request));
    if (!budget)
        return false;
    target.parent = call.parent->run;
    target.onwardBudget = *budget;
    return true;
}

owned_request caller_request_handler::makeOwnedRequest(admitted_call &call,
                                                       const pending_request &target,
                                                       time_point now)
{
    owned_request work;
    request_context &context = work.context;
    context.route = call.route->definition->name;
    context.service = call.route->target->name;
    context.customer = std::move(call.customer);
    context.priorityRank = call.route->rank->rank;
    context.idempotent = call.route->definition->idempotent;
    context.attempts = call.route->definition->attempts;
    context.trace = target.trace;
    work.deadline = now + call.deadlineLeft;
    work.chainStart = now;
    if (call.parent != nullptr) {
        // An onward call belongs to the call chain of its parent: it inherits the priority and the
        // start time.
        context.priorityRank = call.parent->context.priorityRank;
        context.attempts = target.onwardBudget.attempts;
        context.depth = call.parent->context.depth + 1;
        work.deadline = std::min(work.deadline, call.parent->deadline);
        work.chainStart = call.parent->chainStart;
    }
    work.key = target.key;
    work.request = std::move(call.request);
    work.request.headers = forwardedRequestHeaders(work.request.headers);
    return work;
}

void caller_request_handler::begin(admitted_call call, std::optional<ledger_key> key,
                                   time_point now, action_list &out)
{
    const pending_id id = m_nextId++;
    pending_request &target = m_requests[id];
    target.waiters.push_back(call.from);
    target.key = key;
    target.route = call.route->definition->name;
    target.trace = call.trace;
    target.parentSpan = call.trace.spanId;
    target.trace.spanId = newSpanId(m_random);
    target.started = now;
    if (call.from.peer.empty())
        m_byCall.emplace(call.from.call, id);
    if (key)
        m_byKey.emplace(*key, id);
    if (!openOnwardCall(call, target)) {
        finish(id, {run_state::not_run, error_kind::retry_budget_exhausted, {}, 0}, now, out);
        return;
    }
    target.work = makeOwnedRequest(call, target, now);
    chargeRate(id, now, out);
}

void caller_request_handler::serveRequestIds(call_id call, const http_request &request,
                                             time_point now, action_list &out)
{
    constexpr std::int64_t maxIds = 100;
    constexpr std::string_view countField = "\"count\":";
    if (m_config.current() == nullptr) {
        reject({call, {}}, error_kind::not_configured, now, out);
        return;
    }
    const tl::expected<std::string, error_kind> owner = customerOf(request, now);
    if (!owner) {
        reject({call, {}}, owner.error(), now, out);
        return;
    }
    if (!m_issuingIds) {
        reject({call, {}}, error_kind::leaving, now, out);
        return;
    }
    std::int64_t count = 1;
    const std::string_view body = bodyView(request.body);
    const std::size_t position = body.find(countField);
    if (position != std::string_view::npos) {
        std::string_view digits = body.substr(position + countField.size());
        digits.remove_prefix(std::min(digits.find_first_not_of(' '), digits.size()));
        const std::size_t end = digits.find_first_not_of("0123456789");
        count = parseInteger(digits.substr(0, end)).value_or(0);
    }
    if (count < 1 || count > maxIds) {
        reject({call, {}}, error_kind::bad_request, now, out);
        return;
    }
    std::string text = R"({"ids":[)";
    for (std::int64_t index = 0; index < count; ++index)
        text.append(index == 0 ? "\"" : ",\"").append(m_ledger.issue(now)).append("\"");
    text.append("]}\n");
    http_response response{200, {{"Content-Type", "application/json"}}, nullptr};
    response.body = std::make_shared<const std::string>(std::move(text));
    out.push_back(respond_to_caller{call, std::move(response)});
}

} // namespace tamarackridge::internal
