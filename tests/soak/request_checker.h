#pragma once

#include "process_history.h"
#include "tamarackridge/src/base/http_message.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace tamarackridge::soak {

/// \returns the body that a backend server returns for a request.
inline std::string expectedBody(std::string_view id)
{
    constexpr std::size_t maxRepeats = 2000;
    const std::size_t repeats = 1 + std::hash<std::string_view>()(id) % maxRepeats;
    std::string body;
    for (std::size_t count = 0; count < repeats; ++count)
        body.append(id).push_back(';');
    return body;
}

/// \brief Checks the promises of the sidecar from what callers and backend servers see.
///
/// Violations are reported when they are seen; a request that ended without the server's response
/// is judged two seconds later, when its server has noticed the end as well.
class request_checker
{
public:
    using violation_handler =
            std::function<void(std::string_view promise, const std::string &requestId,
                               const std::vector<std::string> &history)>;

    request_checker(std::size_t vms, violation_handler violated)
        : processes(vms)
        , m_violated(std::move(violated))
    { }

    void sent(const std::string &id, std::size_t vm, bool idempotent, bool keptConnection,
              time_point giveUpAt)
    {
        request_record &item = m_requests[id];
        item.id = id;
        item.vm = vm;
        item.idempotent = idempotent;
        item.sentAt = monotonicNow();
        item.giveUpAt = giveUpAt;
        note(item, "sent to VM " + std::to_string(vm)
                           + (idempotent ? ", idempotent" : ", non-idempotent")
                           + (keptConnection ? ", on a kept connection" : ""));
    }

    void completed(const std::string &id, const http_response &response)
    {
        request_record &item = m_requests.at(id);
        const std::string_view seal = headerValue(response.headers, "X-Response-Seal");
        item.status = response.status;
        item.sealed = seal == "seal-" + id;
        ended(id, "response " + std::to_string(item.status) + (item.sealed ? " of a server" : ""));
        if (!seal.empty() && !item.sealed)
            violate("a response belongs to the own request", item);
        if (item.status < 300
            && (item.runs == 0 || !item.sealed || bodyView(response.body) != expectedBody(id)))
            violate("a success is the whole response of a server", item);
        if (promisesNotRun(item.status) && item.runs > 0)
            violate("a refused request did not run", item);
        if (item.status < 500 && item.status >= 300 && !promisesNotRun(item.status))
            violate("a proper request is not rejected as malformed or unknown", item);
    }

    /// \brief The connection ended without a complete response.
    void broken(const std::string &id)
    {
        m_requests.at(id).unanswered = true;
        ended(id, "connection ended without a complete response");
    }

    /// \brief The caller gave up, or found no connection.
    void ended(const std::string &id, std::string_view how)
    {
        request_record &item = m_requests.at(id);
        item.endedAt = monotonicNow();
        item.interrupted = item.activeRuns > 0;
        ++m_endedCount;
        ++m_outcomes[std::string(how)];
        m_toJudge.push_back(&item);
        note(item, how);
    }

    /// \param plannedEnd when the server will respond, unless it is interrupted.
    void runStarted(const std::string &id, std::size_t vm, time_point plannedEnd)
    {
        const bool known = m_requests.contains(id);
        request_record &item = m_requests[id];
        ++item.runs;
        ++item.activeRuns;
        item.runVms.insert(vm);
        item.plannedEnd = std::max(item.plannedEnd, plannedEnd);
        note(item, "run started by the server of VM " + std::to_string(vm));
        if (!known)
            violate("only requests that were sent run", item);
        if (!item.idempotent && item.runs > 1)
            violate("a non-idempotent request runs at most once", item);
        if (promisesNotRun(item.status))
            violate("a refused request does not run later", item);
        if (item.unanswered)
            m_toJudge.push_back(&item);
        if (reachesDepartedServer(item, vm))
            violate("a server whose departure was acknowledged gets no new requests", item);
    }

    void serverStarted(std::size_t vm) { m_departures.erase(vm); }
    /// \brief The sidecar beside the server of \a vm has acknowledged that it leaves.
    void departureAcknowledged(std::size_t vm)
    {
        m_departures.emplace(vm, monotonicNow());
        remark("departure of the server of VM " + std::to_string(vm) + " acknowledged");
    }

    /// \brief A server begins to run a request that crashes it. Such a request is not to be run
    /// again and again by processes that have been left alone.
    void crashingRunStarted(const std::string &target, const std::string &id, std::size_t vm)
    {
        constexpr std::size_t crashesUntilKnown = 3;
        constexpr std::size_t allowedRetries = 3;
        constexpr duration stability = std::chrono::seconds(3);
        const time_point now = monotonicNow();
        runStarted(id, vm, now);
        runEnded(id, "crashed its server");
        crashing_request &item = m_crashingRequests[target];
        const auto disturbed = [&](std::size_t process) {
            return processes.changed(process, now - stability, now);
        };
        if (item.crashes >= crashesUntilKnown && now > item.knownAt + stability && !disturbed(vm)
            && !disturbed(m_requests.at(id).vm) && ++item.lateRetries > allowedRetries)
            violate("a request that crashes servers is not run again and again", m_requests.at(id));
        if (++item.crashes == crashesUntilKnown)
            item.knownAt = now;
        m_maxCrashes = std::max(m_maxCrashes, item.crashes);
    }
    /// \returns the most crashes that one request caused.
    std::size_t maxCrashes() const { return m_maxCrashes; }

    void runEnded(const std::string &id, std::string_view how)
    {
        request_record &item = m_requests.at(id);
        --item.activeRuns;
        note(item, "run " + std::string(how));
    }

    /// \brief Reports a violation that is not about a single request.
    void report(std::string_view promise, std::string_view detail)
    {
        ++m_violations;
        m_violated(promise, {}, {historyLine(m_start, monotonicNow(), detail)});
    }

    /// \brief Adds a line to the histories of all violations that are found later.
    void remark(std::string_view text)
    {
        m_remarks.push_back(historyLine(m_start, monotonicNow(), text));
    }

    /// \brief Judges requests that ended a while ago; call it a few times a second.
    void sweep(time_point now)
    {
        for (; !m_toJudge.empty(); m_toJudge.pop_front()) {
            if (now - *m_toJudge.front()->endedAt < std::chrono::seconds(2))
                return;
            judge(*m_toJudge.front());
        }
    }

    /// \returns whether all requests have ended and been judged.
    bool settled() const { return m_endedCount == m_requests.size() && m_toJudge.empty(); }
    std::size_t sentCount() const { return m_requests.size(); }
    std::size_t violations() const { return m_violations; }
    const std::map<std::string, std::size_t> &outcomes() const { return m_outcomes; }

    process_history processes;

private:
    struct request_record
    {
        std::string id;
        std::size_t vm = 0;
        bool idempotent = false;
        time_point sentAt;
        time_point giveUpAt; ///< End of the time budget.
        std::optional<time_point> endedAt;
        int status = 0; ///< 0 while there is no complete response.
        bool sealed = false; ///< The response is a server's.
        bool unanswered = false;
        unsigned runs = 0;
        unsigned activeRuns = 0;
        bool interrupted = false; ///< A run was in progress when the request ended.
        time_point plannedEnd; ///< Of the last run.
        std::set<std::size_t> runVms;
        std::vector<std::string> events;
    };

    struct crashing_request
    {
        std::size_t crashes = 0;
        time_point knownAt; ///< Of the crash after which it must not be run again.
        std::size_t lateRetries = 0;
    };

    static bool promisesNotRun(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    /// Excepted are requests that a process sends on within a while after its start or stop.
    bool reachesDepartedServer(const request_record &item, std::size_t vm) const
    {
        constexpr duration drainTime = std::chrono::seconds(2);
        constexpr duration stability = std::chrono::seconds(3);
        const auto departure = m_departures.find(vm);
        if (departure == m_departures.end() || item.sentAt <= departure->second + drainTime)
            return false;
        const auto changed = [&](std::size_t process) {
            return processes.changed(process, item.sentAt - stability, monotonicNow());
        };
        return !changed(item.vm) && !changed(vm);
    }

    void note(request_record &item, std::string_view text)
    {
        item.events.push_back(historyLine(m_start, monotonicNow(), text));
    }

    /// The promises of a planned stop: it leaves no request that a server ran without a response,
    /// and does not replace the response of a server that is at work. Excepted are requests sent up
    /// to 3 s after SIGTERM that still run 5 s after it, in the last sixth of the grace time; the
    /// sidecar gives what it admits then a deadline shortly before that. A request that did not run
    /// may have crossed the end of its connection, unless it had waited for long: a running process
    /// reads a request much sooner.
    void judge(const request_record &item)
    {
        constexpr duration stability = std::chrono::seconds(3);
        constexpr duration admittedUntil = std::chrono::seconds(3);
        constexpr duration stillRunningAt = std::chrono::seconds(5);
        constexpr duration earliestCut = std::chrono::milliseconds(4700);
        const time_point from = item.sentAt - stability;
        const bool replaced = item.status >= 500 && item.status != 503 && !item.sealed;
        const bool read = item.runs > 0 || *item.endedAt - item.sentAt > std::chrono::seconds(1);
        if (!read || processes.disturbed(item.vm, from, *item.endedAt)
            || (!item.unanswered && !replaced))
            return;
        const std::optional<time_point> stop = processes.termination(item.vm, *item.endedAt);
        if (stop && item.sentAt <= *stop + admittedUntil && *item.endedAt >= *stop + earliestCut
            && item.plannedEnd >= *stop + stillRunningAt)
            return;
        const bool serverDisturbed =
                std::any_of(item.runVms.begin(), item.runVms.end(), [&](std::size_t vm) {
                    return processes.disturbed(vm, from, *item.endedAt);
                });
        // The server's process may be killed or paused beside the stop.
        if (serverDisturbed && stop)
            return;
        if (item.unanswered)
            violate("a request that was read gets a response", item);
        else if (stop && item.interrupted && *item.endedAt < item.giveUpAt)
            violate("a planned stop does not replace the response of a server at work", item);
    }

    void violate(std::string_view promise, const request_record &item)
    {
        ++m_violations;
        std::vector<std::string> history = m_remarks;
        history.insert(history.end(), item.events.begin(), item.events.end());
        std::set<std::size_t> vms = item.runVms;
        vms.insert(item.vm);
        for (std::size_t vm : vms)
            processes.describe(vm, m_start, history);
        std::sort(history.begin(), history.end());
        m_violated(promise, item.id, history);
    }

    violation_handler m_violated;
    std::vector<std::string> m_remarks;
    time_point m_start = monotonicNow();
    std::unordered_map<std::string, request_record> m_requests; // References stay valid.
    std::map<std::string, crashing_request> m_crashingRequests; ///< By target.
    std::size_t m_maxCrashes = 0;
    std::map<std::size_t, time_point> m_departures; ///< By VM: acknowledged, and not started anew.
    std::deque<request_record *> m_toJudge;
    std::map<std::string, std::size_t> m_outcomes; ///< How many requests ended in which way.
    std::size_t m_endedCount = 0;
    std::size_t m_violations = 0;
};

} // namespace tamarackridge::soak
