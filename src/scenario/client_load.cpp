#include "scenario/client_load.h"

#include <cmath>

namespace tamarackridge::scenario {

client_load::client_load(sample_fleet &sample, oracle &safetyOracle, std::uint64_t seed)
    : m_sample(sample)
    , m_oracle(safetyOracle)
    , m_random(seed)
{ }

void client_load::start(const caller_group &group, duration length)
{
    scheduleNextArrival(std::make_shared<const caller_group>(group),
                        m_sample.fleet.events().now() + length);
}

void client_load::scheduleNextArrival(const std::shared_ptr<const caller_group> &group,
                                      time_point end)
{
    event_queue &events = m_sample.fleet.events();
    const double interval = -std::log(1.0 - m_random.unit()) / group->rate;
    const time_point next =
            events.now()
            + std::chrono::duration_cast<duration>(std::chrono::duration<double>(interval));
    if (next >= end)
        return;
    events.at(next, [this, group, end] {
        startRequest(*group, m_random.unit() < group->writeShare);
        scheduleNextArrival(group, end);
    });
}

void client_load::startRequest(const caller_group &group, bool isWrite)
{
    const request_handle request = std::make_shared<pending_request>();
    request->group = group;
    request->marker = group.customer + "-" + std::to_string(m_nextMarker++);
    request->isWrite = isWrite;
    request->startSecond = static_cast<std::size_t>(m_sample.fleet.events().now().time_since_epoch()
                                                    / std::chrono::seconds(1));
    ++countersOf(*request).requests;
    send(request);
}

void client_load::replay(const caller_group &group, std::span<const recorded_request> trace)
{
    event_queue &events = m_sample.fleet.events();
    for (const recorded_request &recorded : trace) {
        caller_group caller = group;
        caller.target = recorded.path;
        events.after(recorded.arrival, [this, caller, isWrite = recorded.method == "POST"] {
            startRequest(caller, isWrite);
        });
    }
}

load_second &client_load::countersOf(const pending_request &request)
{
    std::vector<load_second> &seconds = m_seconds[request.group.customer];
    if (seconds.size() <= request.startSecond)
        seconds.resize(request.startSecond + 1);
    return seconds[request.startSecond];
}

std::string client_load::pickNode(const caller_group &group)
{
    std::vector<std::string> candidates;
    for (const std::string &name : m_sample.fleet.names()) {
        for (const std::string &zone : group.zones) {
            if (name.starts_with(zone + "-"))
                candidates.push_back(name);
        }
    }
    return candidates.empty() ? std::string() : candidates[m_random.below(candidates.size())];
}

void client_load::send(const request_handle &request)
{
    const std::string node = pickNode(request->group);
    request->node = node;
    ++request->sends;
    ++m_sends;
    const int generation = ++request->generation;
    event_queue &events = m_sample.fleet.events();
    events.after(request->group.timeout, [this, request, generation] {
        if (!request->done && request->generation == generation)
            scheduleResend(request);
    });
    if (node.empty())
        return;
    http_request message;
    if (request->isWrite && request->id.empty())
        message = m_sample.request("POST", "/invoices", request->group.customer, request->marker);
    else if (request->isWrite)
        message = m_sample.write(request->group.customer, request->marker, request->id);
    else
        message = m_sample.request("GET", request->group.target, request->group.customer,
                                   request->marker);
    m_oracle.sent(request->marker, request->group.customer, request->isWrite, request->id,
                  events.now());
    m_sample.fleet.call(
            node, std::move(message),
            [this, request, generation, id = request->id](const http_response &response) {
                m_oracle.answered(request->marker, response, id, m_sample.fleet.events().now());
                handleResponse(request, generation, response);
            });
}

void client_load::handleResponse(const request_handle &request, int generation,
                                 const http_response &response)
{
    if (request->done || request->generation != generation)
        return;
    if (response.status == 200) {
        request->done = true;
        ++countersOf(*request).complete;
        return;
    }
    const std::string_view error = headerValue(response.headers, "Tamarackridge-Error");
    const std::string_view issuedId = headerValue(response.headers, "Tamarackridge-Request-Id");
    if (!issuedId.empty())
        request->id = std::string(issuedId);
    if (error == "request_id_required") {
        send(request);
        return;
    }
    load_second &counters = countersOf(*request);
    counters.rateRefusals += error == "rate_exceeded" ? 1 : 0;
    counters.overloadRefusals += error == "overloaded" ? 1 : 0;
    scheduleResend(request);
}

void client_load::scheduleResend(const request_handle &request)
{
    if (request->sends > request->group.resends) {
        request->done = true;
        return;
    }
    ++request->generation;
    m_sample.fleet.events().after(request->group.resendDelay, [this, request] { send(request); });
}

const std::vector<load_second> &client_load::seconds(const std::string &customer) const
{
    return m_seconds.at(customer);
}

double client_load::goodput(const std::string &customer, std::size_t from, std::size_t to) const
{
    double requests = 0;
    double complete = 0;
    const std::vector<load_second> &all = seconds(customer);
    for (std::size_t second = from; second < std::min(to, all.size()); ++second) {
        requests += static_cast<double>(all[second].requests);
        complete += static_cast<double>(all[second].complete);
    }
    return requests == 0 ? 1.0 : complete / requests;
}

} // namespace tamarackridge::scenario
