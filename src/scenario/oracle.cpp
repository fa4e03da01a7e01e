#include "scenario/oracle.h"

#include <algorithm>
#include <set>

namespace tamarackridge::scenario {
namespace {

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

std::string formatTime(time_point when)
{
    return std::to_string(when.time_since_epoch() / std::chrono::microseconds(1)) + "us";
}

} // namespace

void oracle::setCustomerBound(const std::string &customer, customer_bound bound)
{
    m_bounds[customer] = bound;
}

void oracle::sent(const std::string &marker, const std::string &customer, bool isWrite,
                  const std::string &id, time_point now)
{
    request_record &request = m_requests[marker];
    request.customer = customer;
    request.isWrite = isWrite;
    request.sends.push_back({now, id});
}

void oracle::answered(const std::string &marker, const http_response &response,
                      const std::string &id, time_point now)
{
    const std::string state(headerValue(response.headers, "Tamarackridge-Run-State"));
    m_requests[marker].responses.push_back(
            {now, state, response.status, std::string(bodyView(response.body)), id});
    if (response.status == 200)
        ++m_completeResponses;
}

std::vector<std::string> oracle::violations(const std::vector<execution_record> &executions,
                                            duration maxWait) const
{
    std::map<std::string, std::vector<const execution_record *>> runs;
    std::vector<std::string> out;
    for (const execution_record &record : executions) {
        runs[record.marker].push_back(&record);
        if (record.receivedApiKey)
            out.push_back(record.marker + ": a backend server received the customer's key");
    }
    for (const auto &[marker, request] : m_requests)
        checkRequest(marker, request, runs[marker], out);
    checkRates(executions, maxWait, out);
    return out;
}

void oracle::checkRequest(const std::string &marker, const request_record &request,
                          const std::vector<const execution_record *> &runs,
                          std::vector<std::string> &out) const
{
    if (request.isWrite && runs.size() > 1)
        out.push_back(marker + ": the write was executed " + std::to_string(runs.size())
                      + " times");
    for (const execution_record *run : runs) {
        if (run->customer != request.customer)
            out.push_back(marker + ": was executed for customer '" + run->customer + "'");
    }
    for (const response_record &response : request.responses) {
        if (response.status == 200 && response.body != "answer to " + marker)
            out.push_back(marker + ": got the response body '" + response.body + "'");
        if (response.state == "ran" && response.status == 200
            && std::none_of(runs.begin(), runs.end(),
                            [](const execution_record *run) { return run->finished; }))
            out.push_back(marker + ": run state 'ran', but no backend server completed it");
        // An idempotent request has no id: its refusal covers the refused send only, and other
        // sends of the same request may be executed.
        if (response.state != "not-run" || response.id.empty())
            continue;
        for (const execution_record *run : runs) {
            if (!sentEarlierUnderAnotherId(request, response.id, run->began))
                out.push_back(marker + ": run state 'not-run', but a backend server executed it; "
                              + describeHistory(request, runs));
        }
    }
}

bool oracle::sentEarlierUnderAnotherId(const request_record &request, const std::string &id,
                                       time_point began)
{
    return std::any_of(request.sends.begin(), request.sends.end(),
                       [&id, began](const send_record &sent) {
                           return sent.when <= began && !sent.id.empty() && sent.id != id;
                       });
}

std::string oracle::describeHistory(const request_record &request,
                                    const std::vector<const execution_record *> &runs)
{
    std::string text;
    for (const send_record &sent : request.sends)
        text += "sent " + formatTime(sent.when) + " id " + sent.id + ", ";
    for (const response_record &response : request.responses)
        text += "answered " + formatTime(response.when) + " " + response.state + " "
                + std::to_string(response.status) + ", ";
    for (const execution_record *run : runs)
        text += "ran " + formatTime(run->began) + " on " + run->node + ", ";
    return text;
}

void oracle::checkRates(const std::vector<execution_record> &executions, duration maxWait,
                        std::vector<std::string> &out) const
{
    std::map<std::string, std::vector<time_point>> admissions;
    std::map<std::string, std::size_t> seen;
    for (const execution_record &record : executions) {
        const auto request = m_requests.find(record.marker);
        if (request == m_requests.end())
            continue;
        // A node's retries are covered by the admission of the send, so that only as many
        // executions count as there were sends.
        if (seen[record.marker]++ < request->second.sends.size())
            admissions[record.customer].push_back(record.began);
    }
    for (auto &[customer, times] : admissions) {
        const auto bound = m_bounds.find(customer);
        if (bound == m_bounds.end())
            continue;
        std::sort(times.begin(), times.end());
        // Level of an exact leaky bucket: each execution adds 1, and it drains at the customer's
        // rate.
        double level = 0;
        time_point last = times.front();
        const double limit = bound->second.burst + bound->second.rate * seconds(maxWait) + 1e-6;
        for (const time_point when : times) {
            level = std::max(0.0, level - bound->second.rate * seconds(when - last)) + 1;
            last = when;
            if (level > limit) {
                out.push_back(customer + ": executions exceed its rate and burst");
                break;
            }
        }
    }
}

} // namespace tamarackridge::scenario
