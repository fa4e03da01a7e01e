#include "backend/request_handler.h"

#include "backend/control.h"
#include "load/echo_body.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace tamarackridge::backend {
namespace {

constexpr std::chrono::milliseconds frozenCheckInterval{20};
/// Maximum time for a request, also if it has no deadline.
constexpr std::chrono::milliseconds maxRequestDuration{60'000};
constexpr int crashExitCode = 70;

server_response errorResponse(unsigned status, std::string_view reason)
{
    return {status, nlohmann::json{{"error", reason}}.dump() + "\n"};
}

random_source &threadRandom()
{
    thread_local seeded_random random(std::random_device{}());
    return random;
}

/// \brief Releases the slot when the execution ends, also by an exception.
struct slot_guard
{
    explicit slot_guard(slot_limiter &limiter)
        : m_limiter(limiter)
    { }
    slot_guard(const slot_guard &) = delete;
    slot_guard &operator=(const slot_guard &) = delete;
    ~slot_guard() { m_limiter.release(); }

private:
    slot_limiter &m_limiter;
};

} // namespace

request_handler::request_handler(server_options options)
    : m_options(std::move(options))
    , m_start(std::chrono::steady_clock::now())
    , m_limiter(m_options.slots, m_options.queue)
    , m_load(m_options.loadLag, m_options.loadFactor)
    , m_journal(m_options.journalPath, m_options.instance)
    , m_onward(m_options.onward)
    , m_serviceTime(m_options.serviceTime)
{ }

server_response request_handler::handle(const server_request &request)
{
    if (request.path == "/ping")
        return ping();
    if (request.path == "/load")
        return reportLoad();
    if (request.path == "/control")
        return control(request);
    return serve(request);
}

server_response request_handler::ping() const
{
    const nlohmann::json body{{"service", m_options.service}, {"instance", m_options.instance}};
    return {200, body.dump() + "\n"};
}

server_response request_handler::reportLoad()
{
    const request_counts load = m_load.reported(std::chrono::steady_clock::now());
    const nlohmann::json body{
            {"slots", m_options.slots}, {"running", load.running}, {"queued", load.queued}};
    return {200, body.dump() + "\n"};
}

server_response request_handler::control(const server_request &request)
{
    if (request.method != "POST")
        return errorResponse(405, "method_not_allowed");
    std::vector<std::string> errors;
    const control_change change = parseControl(request.body, errors);
    if (!errors.empty())
        return {400, nlohmann::json{{"faults", errors}}.dump() + "\n"};
    const std::lock_guard lock(m_mutex);
    m_serviceTime.medianMs = change.medianMs.value_or(m_serviceTime.medianMs);
    m_serviceTime.sigma = change.sigma.value_or(m_serviceTime.sigma);
    m_frozen = change.frozen.value_or(m_frozen);
    if (change.loadFactor)
        m_load.setFactor(*change.loadFactor);
    const nlohmann::json state{{"median_ms", m_serviceTime.medianMs},
                               {"sigma", m_serviceTime.sigma},
                               {"frozen", m_frozen.load()}};
    return {200, state.dump() + "\n"};
}

server_response request_handler::serve(const server_request &request)
{
    const steady_time_point deadline =
            std::chrono::steady_clock::now()
            + std::min(request.deadline.value_or(maxRequestDuration), maxRequestDuration);
    if (!waitWhileFrozen(request))
        return errorResponse(499, "cancelled");
    const auto isCancelled = [&request] { return isClosed(request.descriptor); };
    switch (m_limiter.acquire(deadline, isCancelled)) {
    case admission::queue_full:
        recordEvent(request, "shed", "full");
        return errorResponse(503, "overloaded");
    case admission::deadline_passed:
        recordEvent(request, "shed", "deadline");
        return errorResponse(504, "deadline_exceeded");
    case admission::caller_disconnected:
        recordEvent(request, "shed", "cancelled");
        return errorResponse(499, "cancelled");
    case admission::admitted:
        break;
    }
    m_load.record(m_limiter.load(), std::chrono::steady_clock::now());
    server_response response = execute(request, deadline);
    m_load.record(m_limiter.load(), std::chrono::steady_clock::now());
    return response;
}

server_response request_handler::execute(const server_request &request, steady_time_point deadline)
{
    const slot_guard guard(m_limiter);
    recordEvent(request, "start");
    if (request.crash) {
        recordEvent(request, "end", "crashed");
        _exit(crashExitCode);
    }
    const std::string_view outcome = runToOutcome(request, deadline);
    recordEvent(request, "end", outcome);
    if (outcome == "done") {
        return {200, load::makeEcho(request.loadId, request.body, m_options.responseBytes)};
    }
    if (outcome == "deadline")
        return errorResponse(504, "deadline_exceeded");
    return errorResponse(outcome == "failed" ? 502 : 499, outcome);
}

std::string_view request_handler::runToOutcome(const server_request &request,
                                               steady_time_point deadline)
{
    const steady_time_point now = std::chrono::steady_clock::now();
    const steady_time_point end = now + currentServiceTime().sample(threadRandom(), now - m_start);
    if (waitWhileConnected(request.descriptor, std::min(end, deadline)) == wait_result::closed)
        return "cancelled";
    if (end > deadline)
        return "deadline";
    if (!waitWhileFrozen(request))
        return "cancelled";
    const std::chrono::milliseconds timeLeft =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                    deadline - std::chrono::steady_clock::now());
    if (timeLeft.count() <= 0)
        return "deadline";
    const onward_parent parent{request.loadId, request.handle, timeLeft,
                               [&request] { return isClosed(request.descriptor); }};
    return m_onward.callAll(request.path, parent) ? "done" : "failed";
}

bool request_handler::waitWhileFrozen(const server_request &request) const
{
    while (m_frozen) {
        const steady_time_point until = std::chrono::steady_clock::now() + frozenCheckInterval;
        if (waitWhileConnected(request.descriptor, until) == wait_result::closed)
            return false;
    }
    return true;
}

void request_handler::recordEvent(const server_request &request, std::string_view event,
                                  std::string_view outcome)
{
    m_journal.write({event, request.loadId, request.method, request.path, outcome});
}

service_time request_handler::currentServiceTime() const
{
    const std::lock_guard lock(m_mutex);
    return m_serviceTime;
}

} // namespace tamarackridge::backend
