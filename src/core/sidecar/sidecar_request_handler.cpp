#include "core/sidecar/sidecar_request_handler.h"

#include "core/sidecar/caller_response.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <unordered_set>
#include <utility>

namespace tamarackridge::internal {
namespace {

// Onward calls of requests that are already running have the highest rank: refusing one would waste
// the work done so far.
constexpr std::uint8_t onwardRank = 255;
constexpr std::uint8_t highestCallerRank = 240;
/// Number of route levels that are distinguished within one customer level.
constexpr std::uint32_t routePriorityLevels = 16;
constexpr std::uint32_t customerPriorityLevels = 15;

// Tokens of another node arrive within one round trip between zones, so a request that has waited
// for this long is refused.
constexpr duration tokenWaitTimeout = std::chrono::milliseconds(40);

// Before a process that is shutting down exits, its last responses are written within this time.
constexpr duration responseDelivery = std::chrono::milliseconds(200);
// An onward call that gets less time than this could not complete before the process exits.
constexpr duration minOnwardTime = std::chrono::milliseconds(300);
/// Each response lowers the longest known latency of its route by one part in so many.
constexpr std::int64_t latencyDecay = 100;
// A process that no longer admits requests because it is shutting down is usually replaced within
// this time. Callers come back to this VM, so an earlier return would be refused again.
constexpr duration successorDelay = std::chrono::seconds(1);

// Hop-by-hop headers (RFC 9110, section 7.6.1), and the length of the body, which is set anew when
// the request is forwarded.
constexpr std::array<std::string_view, 9> connectionHeaders{
        "connection", "keep-alive",        "proxy-connection", "te",    "trailer",
        "upgrade",    "transfer-encoding", "content-length",   "expect"};

std::uint8_t rankOf(const published_route &route, const published_customer *customer)
{
    if (customer == nullptr)
        return onwardRank;
    const std::uint32_t first = std::min(customer->priorityLevel, customerPriorityLevels - 1);
    const std::uint32_t second = std::min(route.priorityLevel, routePriorityLevels - 1);
    return static_cast<std::uint8_t>(highestCallerRank - first * routePriorityLevels - second);
}

duration deadlineOf(const http_request &request, const header_names &names,
                    const published_route &route)
{
    const std::string_view text = headerValue(request.headers, names.deadline);
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size())
        return route.timeout;
    return std::min<duration>(route.timeout, std::chrono::milliseconds(milliseconds));
}

} // namespace

sidecar_request_handler::sidecar_request_handler(const sidecar_options &options, dispatcher &target,
                                                 const executor &localExecutor,
                                                 sidecar_quota &quota, node_counters &counters,
                                                 decision_observer &observer)
    : m_options(options)
    , m_dispatcher(target)
    , m_executor(localExecutor)
    , m_quota(quota)
    , m_counters(counters)
    , m_observer(observer)
{ }

void sidecar_request_handler::install(std::shared_ptr<route_table> table)
{
    m_table = std::move(table);
    std::unordered_set<std::string_view> routes;
    for (const published_route &route : m_table->set().routes)
        routes.insert(route.name);
    std::erase_if(m_longestLatencies,
                  [&routes](const auto &entry) { return !routes.contains(entry.first); });
}

void sidecar_request_handler::callerRequest(call_id call, http_request request, time_point now,
                                            action_list &out)
{
    m_counters.add(node_counter::calls);
    pending item;
    item.call = call;
    item.arrivedAt = now;
    item.requestId = headerValue(request.headers, m_options.headers.requestId);
    tl::expected<owned_request, error_kind> work = admit(item, request, now);
    if (!work)
        refuse(item, work.error(), now, out);
    else if (item.customer.empty() || m_quota.trySpend(item.customer, now))
        begin(std::move(item), std::move(*work), now, out);
    else if (m_quota.expectsGrant(item.customer, now)) {
        m_waiting.push_back({std::move(item), std::move(*work)});
        m_quota.tick(now, out); // Requests tokens immediately, as the request waits for them.
    } else
        refuse(item, error_kind::rate_exceeded, now, out);
}

void sidecar_request_handler::begin(pending item, owned_request work, time_point now,
                                    action_list &out)
{
    // Registered first, as outcome() may be called before start() returns.
    const dispatcher::request_number owned = m_dispatcher.nextRequestNumber();
    m_byCall.emplace(item.call, owned);
    m_requests.emplace(owned, std::move(item));
    m_dispatcher.start(std::move(work), now, out);
}

void sidecar_request_handler::refuse(const pending &item, error_kind kind, time_point now,
                                     action_list &out)
{
    request_outcome refused;
    refused.state = run_state::not_run;
    refused.error = kind;
    respond(item, std::move(refused), now, out);
}

void sidecar_request_handler::tokensArrived(time_point now, action_list &out)
{
    std::vector<waiting_request> waiting = std::exchange(m_waiting, {});
    for (waiting_request &request : waiting) {
        if (m_quota.retrySpend(request.item.customer, now))
            begin(std::move(request.item), std::move(request.work), now, out);
        else
            m_waiting.push_back(std::move(request));
    }
}

void sidecar_request_handler::tick(time_point now, action_list &out)
{
    if (m_waiting.empty())
        return;
    std::vector<waiting_request> waiting = std::exchange(m_waiting, {});
    for (waiting_request &request : waiting) {
        if (m_quota.retrySpend(request.item.customer, now))
            begin(std::move(request.item), std::move(request.work), now, out);
        else if (now - request.item.arrivedAt < tokenWaitTimeout)
            m_waiting.push_back(std::move(request));
        else
            refuse(request.item, error_kind::rate_exceeded, now, out);
    }
}

tl::expected<owned_request, error_kind>
sidecar_request_handler::admit(pending &item, http_request &request, time_point now)
{
    if (!m_table)
        return tl::unexpected(error_kind::not_configured);
    const published_route *route =
            m_table->route(headerValue(request.headers, "host"), request.target);
    if (route == nullptr)
        return tl::unexpected(error_kind::unknown_route);
    item.route = route->name;
    item.idempotent = route->idempotent;
    item.objective = route->objective;
    const tl::expected<const published_customer *, error_kind> customer =
            customerOf(*route, request);
    if (!customer)
        return tl::unexpected(customer.error());
    if (exitsTooSoon(*route, *customer != nullptr, now))
        return tl::unexpected(error_kind::leaving);
    if (*customer != nullptr)
        item.customer = (*customer)->name;
    item.service = m_table->nextService(*route);
    item.attempts = route->attempts;

    owned_request work;
    work.deadline = now + deadlineOf(request, m_options.headers, *route);
    if (work.deadline <= now)
        return tl::unexpected(error_kind::deadline_exceeded);
    if (m_shutdown)
        work.deadline = std::min(work.deadline, m_shutdown->completeBy);
    work.chainStart = now;
    work.context.route = item.route;
    work.context.service = item.service;
    work.context.customer = item.customer;
    work.context.priorityRank = rankOf(*route, *customer);
    work.context.idempotent = route->idempotent;
    work.context.attempts = std::max(route->attempts, 1U);
    work.request.method = std::move(request.method);
    work.request.target = std::move(request.target);
    work.request.body = std::move(request.body);
    work.request.headers = forwardedHeaders(std::move(request.headers), item.customer);
    return work;
}

tl::expected<const published_customer *, error_kind>
sidecar_request_handler::customerOf(const published_route &route, const http_request &request)
{
    if (route.open || m_table->set().customers.empty())
        return nullptr;
    const std::string_view key = headerValue(request.headers, m_options.headers.key);
    if (key.empty())
        return tl::unexpected(error_kind::key_missing);
    const published_customer *customer = m_table->customer(key);
    if (customer == nullptr)
        return tl::unexpected(error_kind::key_unknown);
    return customer;
}

std::vector<http_header>
sidecar_request_handler::forwardedHeaders(std::vector<http_header> received,
                                          const std::string &customer) const
{
    const header_names &names = m_options.headers;
    const std::array<std::string_view, 5> replaced{names.deadline, names.key, names.customer,
                                                   names.callerService, names.expectedInstance};
    const auto equalsName = [](std::string_view name) {
        return [name](std::string_view other) { return equalHeaderNames(name, other); };
    };
    const std::string listed(headerValue(received, "connection"));
    std::erase_if(received, [&](const http_header &header) {
        return std::any_of(replaced.begin(), replaced.end(), equalsName(header.name))
               || std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
                              equalsName(header.name))
               || namesHeader(listed, header.name);
    });
    received.push_back({names.callerService, m_options.service});
    if (!customer.empty())
        received.push_back({names.customer, customer});
    return received;
}

void sidecar_request_handler::callerDisconnected(call_id call, time_point now, action_list &out)
{
    std::erase_if(m_waiting,
                  [call](const waiting_request &request) { return request.item.call == call; });
    const auto found = m_byCall.find(call);
    if (found == m_byCall.end())
        return;
    const dispatcher::request_number owned = found->second;
    m_byCall.erase(found);
    const auto request = m_requests.find(owned);
    request_outcome gone;
    gone.error = error_kind::cancelled;
    request->second.call = 0;
    if (!request->second.idempotent)
        return; // It may be running already; its outcome is still logged.
    const pending item = std::move(request->second);
    m_requests.erase(request);
    m_dispatcher.abandon(owned, now, out);
    respond(item, std::move(gone), now, out);
}

void sidecar_request_handler::outcome(dispatcher::request_number owned, request_outcome result,
                                      time_point now, action_list &out)
{
    const auto found = m_requests.find(owned);
    if (found == m_requests.end())
        return;
    const pending item = std::move(found->second);
    m_requests.erase(found);
    m_byCall.erase(item.call);
    respond(item, std::move(result), now, out);
}

void sidecar_request_handler::beginShutdown(time_point admissionEnd, time_point exitAt)
{
    const time_point completeBy = exitAt - responseDelivery;
    m_shutdown = {admissionEnd, completeBy};
    for (waiting_request &waiting : m_waiting)
        waiting.work.deadline = std::min(waiting.work.deadline, completeBy);
    m_dispatcher.limitDeadlines(completeBy);
}

bool sidecar_request_handler::exitsTooSoon(const published_route &route, bool hasCustomer,
                                           time_point now) const
{
    if (!m_shutdown || now < m_shutdown->admissionEnd)
        return false;
    // Callers, too, send requests without a key. Onward calls come only while the local backend
    // server is running a request.
    const bool isOnwardCall = !hasCustomer && !m_executor.idle();
    if (!isOnwardCall)
        return true;
    const auto latency = m_longestLatencies.find(route.name);
    const duration needed =
            latency == m_longestLatencies.end() ? duration::zero() : latency->second;
    return now + std::max(needed, minOnwardTime) >= m_shutdown->completeBy;
}

void sidecar_request_handler::recordLatency(const std::string &route, duration elapsed)
{
    duration &longest = m_longestLatencies[route];
    longest = std::max(elapsed, longest - longest / latencyDecay);
}

void sidecar_request_handler::endUnfinished(time_point now, action_list &out)
{
    m_byCall.clear();
    for (const auto &[owned, item] : std::exchange(m_requests, {})) {
        const attempt_summary summary = m_dispatcher.attemptsOf(owned);
        request_outcome unfinished;
        unfinished.error = error_kind::leaving;
        unfinished.executorNode = std::string(summary.executor);
        unfinished.attemptsUnused = item.attempts - std::min(summary.attempts, item.attempts);
        respond(item, std::move(unfinished), now, out);
    }
    for (const waiting_request &waiting : std::exchange(m_waiting, {}))
        refuse(waiting.item, error_kind::leaving, now, out);
}

void sidecar_request_handler::respond(const pending &item, request_outcome result, time_point now,
                                      action_list &out)
{
    ended_request ended;
    ended.requestId = item.requestId;
    ended.route = item.route;
    ended.service = item.service;
    ended.customer = item.customer;
    ended.executor = result.executorNode;
    ended.state = result.state;
    ended.configVersion = m_table ? m_table->set().version : -1;
    ended.elapsed = now - item.arrivedAt;
    ended.objective = item.objective;
    ended.attempts = item.attempts - std::min(result.attemptsUnused, item.attempts);
    if (result.error) {
        ended.error = responseFor(*result.error).name;
        const bool refusedOnReturn =
                m_shutdown && now + queueRetryDelay >= m_shutdown->admissionEnd;
        result.response = refusal(*result.error, result.state,
                                  refusedOnReturn ? successorDelay : queueRetryDelay);
    } else if (item.attempts > 0)
        recordLatency(item.route, ended.elapsed);
    ended.status = result.response.status;
    m_counters.add(result.error ? node_counter::calls_refused : node_counter::calls_answered);
    m_observer.requestEnded(ended);
    if (item.call != 0)
        out.push_back(respond_to_caller{item.call, std::move(result.response)});
}

} // namespace tamarackridge::internal
