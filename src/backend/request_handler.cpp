#include "backend/request_handler.h"

#include "backend/control.h"
#include "load/echo_body.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace tamarackridge::backend {
namespace {

constexpr std::chrono::milliseconds frozenCheckInterval{20};
/// Bound on requests that carry no deadline.
constexpr std::chrono::milliseconds longestRequest{60'000};
constexpr int crashExitCode = 70;

server_response refusal(unsigned status, std::string_view reason)
{
    return {status, nlohmann::json{{"error", reason}}.dump() + "\n"};
}

random_source &threadRandom()
{
    thread_local seeded_random random(std::random_device{}());
    return random;
}

/// \brief Frees the slot when an execution ends in any way.
struct slot_release
{
    explicit slot_release(slot_gate &gate)
        : m_gate(gate)
    { }
    slot_release(const slot_release &) = delete;
    slot_release &operator=(const slot_release &) = delete;
    ~slot_release() { m_gate.leave(); }

private:
    slot_gate &m_gate;
};

} // namespace

request_handler::request_handler(server_options options)
    : m_options(std::move(options))
    , m_start(std::chrono::steady_clock::now())
    , m_gate(m_options.slots, m_options.queue)
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
    const gate_load load = m_load.reported(std::chrono::steady_clock::now());
    const nlohmann::json body{
            {"slots", m_options.slots}, {"running", load.running}, {"queued", load.queued}};
    return {200, body.dump() + "\n"};
}

server_response request_handler::control(const server_request &request)
{
    if (request.method != "POST")
        return refusal(405, "method_not_allowed");
    std::vector<std::string> faults;
    const control_change change = parseControl(request.body, faults);
    if (!faults.empty())
        return {400, nlohmann::json{{"faults", faults}}.dump() + "\n"};
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
    const steady_time deadline =
            std::chrono::steady_clock::now()
            + std::min(request.deadline.value_or(longestRequest), longestRequest);
    if (!waitWhileFrozen(request))
        return refusal(499, "cancelled");
    const auto isGone = [&request] { return isClosed(request.descriptor); };
    switch (m_gate.enter(deadline, isGone)) {
    case admission::full:
        note(request, "shed", "full");
        return refusal(503, "overloaded");
    case admission::deadline_passed:
        note(request, "shed", "deadline");
        return refusal(504, "deadline_exceeded");
    case admission::caller_gone:
        note(request, "shed", "cancelled");
        return refusal(499, "cancelled");
    case admission::admitted:
        break;
    }
    m_load.note(m_gate.load(), std::chrono::steady_clock::now());
    server_response response = execute(request, deadline);
    m_load.note(m_gate.load(), std::chrono::steady_clock::now());
    return response;
}

server_response request_handler::execute(const server_request &request, steady_time deadline)
{
    const slot_release release(m_gate);
    note(request, "start");
    if (request.crash) {
        note(request, "end", "crashed");
        _exit(crashExitCode);
    }
    const std::string_view outcome = work(request, deadline);
    note(request, "end", outcome);
    if (outcome == "done") {
        return {200, load::makeEcho(request.loadId, request.body, m_options.responseBytes)};
    }
    if (outcome == "deadline")
        return refusal(504, "deadline_exceeded");
    return refusal(outcome == "failed" ? 502 : 499, outcome);
}

std::string_view request_handler::work(const server_request &request, steady_time deadline)
{
    const steady_time now = std::chrono::steady_clock::now();
    const steady_time end = now + currentServiceTime().sample(threadRandom(), now - m_start);
    if (waitOnConnection(request.descriptor, std::min(end, deadline)) == wait_end::closed)
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
        const steady_time until = std::chrono::steady_clock::now() + frozenCheckInterval;
        if (waitOnConnection(request.descriptor, until) == wait_end::closed)
            return false;
    }
    return true;
}

void request_handler::note(const server_request &request, std::string_view event,
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
