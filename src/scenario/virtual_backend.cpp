#include "scenario/virtual_backend.h"

#include <algorithm>
#include <cmath>

namespace tamarackridge::scenario {
namespace {

constexpr std::string_view crashBody = "crash-this-server";

http_response echoResponse(const http_request &request, int status)
{
    http_response response;
    response.status = status;
    const std::string marker(headerValue(request.headers, "X-Request-Marker"));
    response.headers.push_back({"X-Request-Marker", marker});
    response.body = std::make_shared<const std::string>("answer to " + marker);
    return response;
}

} // namespace

virtual_backend::virtual_backend(backend_model model, std::string node, event_queue &events,
                                 random_source &random, std::vector<execution_record> &executions)
    : m_model(std::move(model))
    , m_node(std::move(node))
    , m_events(events)
    , m_random(random)
    , m_executions(executions)
{ }

void virtual_backend::connect(result_sink results, onward_call onward, crash_sink crashed)
{
    m_onResult = std::move(results);
    m_onwardCall = std::move(onward);
    m_onCrash = std::move(crashed);
}

void virtual_backend::run(const run_backend &request)
{
    const run_id run = request.run;
    if (!m_up) {
        backend_result refused;
        refused.connectionBroken = true;
        m_onResult(run, std::move(refused));
        return;
    }
    m_running[run] = {0, request.request, 0, false};
    const std::uint64_t generation = m_generation;
    m_events.after(request.timeout, [this, run, generation] {
        const auto found = m_running.find(run);
        if (generation != m_generation || found == m_running.end())
            return;
        cancel(run);
    });
    m_queue.push_back(run);
    startQueued();
}

void virtual_backend::startQueued()
{
    while (!m_queue.empty() && m_busySlots < m_model.slots) {
        const run_id run = m_queue.front();
        m_queue.erase(m_queue.begin());
        startExecution(run);
    }
}

void virtual_backend::startExecution(run_id run)
{
    running_request &work = m_running.at(run);
    work.started = true;
    ++m_busySlots;
    execution_record record;
    record.marker = std::string(headerValue(work.request.headers, "X-Request-Marker"));
    record.customer = std::string(headerValue(work.request.headers, "Tamarackridge-Customer"));
    record.node = m_node;
    record.began = m_events.now();
    record.receivedApiKey = !headerValue(work.request.headers, "Authorization").empty();
    work.executionIndex = m_executions.size();
    m_executions.push_back(std::move(record));
    if (bodyView(work.request.body) == crashBody) {
        m_events.after(std::chrono::milliseconds(1), [this, generation = m_generation] {
            if (generation == m_generation)
                crash();
        });
        return;
    }
    // Draws an exponentially distributed service time.
    const double factor = -std::log(1.0 - m_random.unit());
    const duration time = std::chrono::duration_cast<duration>(m_model.serviceTime * factor);
    m_events.after(time, [this, run, generation = m_generation] {
        if (generation == m_generation && m_running.contains(run) && !m_frozen)
            callNextTarget(run);
    });
}

void virtual_backend::callNextTarget(run_id run)
{
    running_request &work = m_running.at(run);
    if (work.nextOnwardTarget >= m_model.onwardTargets.size()) {
        complete(run, 200);
        return;
    }
    http_request onward;
    onward.method = "GET";
    onward.target = m_model.onwardTargets[work.nextOnwardTarget++];
    onward.headers.push_back(
            {"Tamarackridge-Handle",
             std::string(headerValue(work.request.headers, "Tamarackridge-Handle"))});
    const std::string marker(headerValue(work.request.headers, "X-Request-Marker"));
    onward.headers.push_back({"X-Request-Marker", marker + "/" + onward.target});
    m_onwardCall(onward, [this, run, generation = m_generation](const http_response &response) {
        if (generation != m_generation || !m_running.contains(run))
            return;
        if (response.status >= 500)
            complete(run, 502);
        else
            callNextTarget(run);
    });
}

void virtual_backend::complete(run_id run, int status)
{
    const running_request work = std::move(m_running.at(run));
    m_running.erase(run);
    --m_busySlots;
    m_executions[work.executionIndex].finished = true;
    backend_result result;
    result.bytesSent = true;
    result.response = echoResponse(work.request, status);
    m_onResult(run, std::move(result));
    startQueued();
}

void virtual_backend::cancel(run_id run)
{
    const auto found = m_running.find(run);
    if (found == m_running.end())
        return;
    if (found->second.started)
        --m_busySlots;
    std::erase(m_queue, run);
    m_running.erase(found);
    backend_result result;
    result.bytesSent = true;
    result.response = tl::unexpected(error_kind::backend_timeout);
    m_onResult(run, std::move(result));
    startQueued();
}

void virtual_backend::crash()
{
    if (!m_up)
        return;
    m_up = false;
    ++m_generation;
    const std::map<run_id, running_request> broken = std::move(m_running);
    m_running.clear();
    m_queue.clear();
    m_busySlots = 0;
    m_onCrash();
    for (const auto &[run, work] : broken) {
        backend_result result;
        result.bytesSent = true;
        result.connectionBroken = true;
        m_onResult(run, std::move(result));
    }
}

void virtual_backend::restart()
{
    m_up = true;
    m_instance = std::to_string(++m_generation);
}

} // namespace tamarackridge::scenario
