#include "load/worker.h"

#include "load/echo_body.h"
#include "load/weighted_choice.h"

#include <algorithm>
#include <cmath>

namespace tamarackridge::load {
namespace {

constexpr long tooManyRequests = 429;
constexpr std::string_view rateExceeded = "rate_exceeded";
/// Gives each worker a different random sequence.
constexpr std::uint64_t seedStride = 1'000'003;

std::chrono::milliseconds toMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

bool isRateRefusal(const send_result &result)
{
    return result.status == tooManyRequests || result.error == rateExceeded;
}

} // namespace

worker::customer_state::customer_state(const load_plan &plan, std::size_t customer,
                                       std::uint64_t seed)
    : random(seed)
    , schedule(plan, customer, 1.0 / plan.threads)
{
    const load_customer &settings = plan.customers[customer];
    for (std::size_t target = 0; target < settings.targets.size(); ++target)
        targetWeights.push_back(std::pow(static_cast<double>(target + 1), -settings.skew));
}

worker::worker(const load_plan &plan, std::size_t index, std::string runId)
    : m_plan(plan)
    , m_index(index)
    , m_runId(std::move(runId))
    , m_random(plan.seed + seedStride * index)
    , m_loop(plan.maxOutstanding / plan.threads + 1)
{
    for (std::size_t customer = 0; customer < plan.customers.size(); ++customer)
        m_customers.emplace_back(plan, customer, m_random.next());
}

void worker::run(std::chrono::steady_clock::time_point start)
{
    m_start = start;
    for (std::size_t customer = 0; customer < m_customers.size(); ++customer)
        scheduleArrival(customer);
    const duration end = m_plan.length() + m_plan.drainTimeout;
    while (!finished()) {
        runDueEvents();
        const duration due = m_events.empty() ? end : std::min(end, m_events.begin()->first);
        m_loop.poll(m_start + due);
    }
    m_loop.abortAll();
    m_events.clear();
    const std::map<client_call *, shared_call> open = std::move(m_outstanding);
    for (const auto &[key, call] : open) {
        call->abandon(now());
        m_records.requests.push_back(std::move(call->record));
    }
}

bool worker::finished() const
{
    const duration time = now();
    return (time >= m_plan.length() && m_outstanding.empty() && m_events.empty())
           || time >= m_plan.length() + m_plan.drainTimeout;
}

duration worker::now() const
{
    return std::chrono::steady_clock::now() - m_start;
}

void worker::scheduleArrival(std::size_t customer)
{
    customer_state &state = m_customers[customer];
    const std::optional<duration> next = state.schedule.next(state.random);
    if (next)
        m_events.emplace(*next, [this, customer, at = *next] { handleArrival(customer, at); });
}

void worker::runDueEvents()
{
    while (!m_events.empty() && m_events.begin()->first <= now()) {
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
}

void worker::handleArrival(std::size_t customer, duration intendedStart)
{
    scheduleArrival(customer);
    const shared_call call = makeCall(customer, intendedStart);
    if (m_outstanding.size() >= std::max<std::size_t>(1, m_plan.maxOutstanding / m_plan.threads)) {
        call->record.finished = now();
        m_records.requests.push_back(std::move(call->record));
        return;
    }
    m_outstanding.emplace(call.get(), call);
    std::optional<std::size_t> target;
    customer_state &state = m_customers[customer];
    const bool needsId = !m_plan.kinds[call->record.kind].idempotent;
    if (needsId && m_plan.customers[customer].ids == id_source::batch) {
        if (std::optional<id_pool::issued_id> issued = state.ids.take()) {
            call->requestId = std::move(issued->id);
            target = issued->target;
        }
        if (state.ids.needsBatch(now()))
            requestIdBatch(customer);
    }
    send(call, target);
}

worker::shared_call worker::makeCall(std::size_t customer, duration intendedStart)
{
    request_record record;
    record.customer = customer;
    record.intendedStart = intendedStart;
    record.kind =
            chooseByWeight(m_plan.customers[customer].kindWeights, m_customers[customer].random);
    record.loadId =
            std::string(1, m_plan.kinds[record.kind].idempotent ? readIdPrefix : writeIdPrefix)
            + m_runId + "-" + std::to_string(m_index) + "-" + std::to_string(m_nextId++);
    return std::make_shared<client_call>(m_plan.customers[customer], std::move(record));
}

void worker::send(const shared_call &call, std::optional<std::size_t> preferredTarget)
{
    request_record &record = call->record;
    const load_customer &customer = m_plan.customers[record.customer];
    const request_kind &kind = m_plan.kinds[record.kind];
    const std::size_t target = preferredTarget ? *preferredTarget : chooseTarget(record.customer);
    const duration at = now();
    if (record.sends == 0)
        record.firstSent = at;
    const std::size_t sendIndex = m_records.sends.size();
    m_records.sends.push_back({record.customer, at, false, record.sends == 0});
    ++record.sends;
    m_loop.start({kind.method, customer.targets[target] + kind.path, headersOf(*call),
                  bodyOf(record), toMilliseconds(customer.timeout)},
                 [this, call, sendIndex, target](http_transfer &transfer) {
                     sendEnded(call, sendIndex, target, transfer);
                 });
}

void worker::sendEnded(const shared_call &call, std::size_t sendIndex, std::size_t target,
                       http_transfer &transfer)
{
    send_result &result = transfer.result();
    result.bodyMatches = isEchoOf(transfer.body(), call->record.loadId, transfer.sent().body);
    m_records.sends[sendIndex].refusedByRateLimit = isRateRefusal(result);
    const bool hadId = !call->requestId.empty();
    const std::optional<duration> retryDelay = call->sendEnded(result, now(), m_random);
    if (!retryDelay) {
        finish(call);
        return;
    }
    // The node that issued a request id owns it, so the first send with the id goes to that node.
    const bool idIssued = !hadId && !call->requestId.empty();
    const std::optional<std::size_t> next = idIssued ? std::optional(target) : std::nullopt;
    m_events.emplace(now() + *retryDelay, [this, call, next] { send(call, next); });
}

void worker::finish(const shared_call &call)
{
    m_records.requests.push_back(std::move(call->record));
    m_outstanding.erase(call.get());
}

void worker::requestIdBatch(std::size_t customer)
{
    m_customers[customer].ids.batchRequested();
    const load_customer &settings = m_plan.customers[customer];
    const std::size_t target = chooseTarget(customer);
    std::vector<std::string> headers{"Content-Type: application/json"};
    if (!settings.key.empty())
        headers.push_back("Authorization: Bearer " + settings.key);
    m_loop.start({"POST", settings.targets[target] + "/.tamarackridge/request-ids",
                  std::move(headers), "{\"count\":" + std::to_string(id_pool::batchSize) + "}",
                  toMilliseconds(settings.timeout)},
                 [this, customer, target](http_transfer &transfer) {
                     m_customers[customer].ids.handleBatchResponse(transfer.body(), target, now());
                 });
}

std::size_t worker::chooseTarget(std::size_t customer)
{
    return chooseByWeight(m_customers[customer].targetWeights, m_random);
}

std::string worker::bodyOf(const request_record &record) const
{
    const request_kind &kind = m_plan.kinds[record.kind];
    if (kind.method == "GET")
        return {};
    std::string body = record.loadId;
    body.resize(std::max(body.size(), kind.minBodyBytes), '.');
    return body;
}

std::vector<std::string> worker::headersOf(const client_call &call) const
{
    const load_customer &customer = m_plan.customers[call.record.customer];
    std::vector<std::string> headers{std::string(loadIdHeader) + ": " + call.record.loadId,
                                     "Content-Type: application/octet-stream"};
    if (!customer.key.empty())
        headers.push_back("Authorization: Bearer " + customer.key);
    if (!call.requestId.empty())
        headers.push_back("Tamarackridge-Request-Id: " + call.requestId);
    if (customer.deadline > duration::zero())
        headers.push_back("Tamarackridge-Deadline-Ms: "
                          + std::to_string(toMilliseconds(customer.deadline).count()));
    if (m_plan.kinds[call.record.kind].crash)
        headers.emplace_back("X-Crash: 1");
    return headers;
}

} // namespace tamarackridge::load
