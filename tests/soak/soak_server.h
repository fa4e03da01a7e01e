#pragma once

#include "deployment.h"
#include "platform/names.h"
#include "request_checker.h"
#include "sidecar/connection_pool.h"
#include "sidecar/http_listener.h"

#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <functional>
#include <map>
#include <memory>

namespace tamarackridge::soak {

namespace names = platform::names;

/// \brief Stand-in for a backend server: sends heartbeats, runs each request for a time that
/// depends on the seed and the request, and drops a run whose connection closes.
class soak_server
{
public:
    soak_server(boost::asio::io_context &loop, std::size_t vm, std::uint64_t seed,
                request_checker &checker)
        : m_loop(loop)
        , m_vm(vm)
        , m_seed(seed)
        , m_checker(checker)
        , m_control(loop, deployment::address(vm, endpoint::control))
        , m_heartbeatTimer(loop)
        , m_startTimer(loop)
    {
        start();
    }

    void sweep(time_point now)
    {
        if (m_listener)
            m_listener->sweep(now);
        m_control.sweep(now);
    }

    /// \brief Says that the server leaves until that is acknowledged, goes on serving, and exits
    /// \a stay later. A report from before the notice arrives after it.
    void leave(duration stay, random_source &random)
    {
        if (!m_listener || m_leaving)
            return;
        m_leaving = true;
        m_reportsWhileLeaving = random.below(2) == 0;
        m_leavesByReport = random.below(2) == 0;
        const http_request late = report("ready");
        after(drawDuration(milliseconds(200), milliseconds(4000), random),
              [this, late] { tell(late, [](bool) {}); });
        after(stay, [this] { exit(milliseconds(500), "ended in the exit of its server"); });
        sendNotice();
    }

private:
    // Few enough that the callers of all VMs together sometimes exceed them.
    static constexpr std::size_t slots = 24;

    struct run
    {
        std::string id;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    /// Most requests are fast; a few outlast a planned stop.
    duration serviceTime(const std::string &id) const
    {
        seeded_random random(m_seed ^ std::hash<std::string>()(id));
        const double kind = random.unit();
        if (kind < 0.7)
            return drawDuration(milliseconds(2), milliseconds(40), random);
        if (kind < 0.9)
            return drawDuration(milliseconds(100), milliseconds(600), random);
        if (kind < 0.98)
            return drawDuration(milliseconds(1000), milliseconds(2500), random);
        return drawDuration(milliseconds(3000), milliseconds(6000), random);
    }

    void handle(call_id call, const http_request &request)
    {
        if (request.target == healthPath) {
            http_response response;
            response.status = m_leaving ? 503 : 200;
            response.headers = {{std::string(names::instance), instance()}};
            m_listener->respond(call, response);
            return;
        }
        const std::string id(headerValue(request.headers, names::requestId));
        if (request.target.find(crashingPath) != std::string::npos) {
            m_checker.crashingRunStarted(request.target, id, m_vm);
            // Posted, since the listener cannot be destroyed in its callback.
            boost::asio::post(m_loop, [this] { crash(); });
            return;
        }
        if (m_runs.size() >= slots) {
            respond(call, 503, id, names::notRun);
            return;
        }
        const std::string_view deadline = headerValue(request.headers, names::deadlineMilliseconds);
        std::int64_t left = 0;
        std::from_chars(deadline.data(), deadline.data() + deadline.size(), left);
        const duration needed = serviceTime(id);
        const duration taken = std::min<duration>(needed, milliseconds(left));
        m_checker.runStarted(id, m_vm, monotonicNow() + taken);
        if (!bodyView(request.body).empty() && bodyView(request.body) != id)
            m_checker.report("a body is forwarded unchanged", id);
        run &item = m_runs[call];
        item = {id, std::make_unique<boost::asio::steady_timer>(m_loop, taken)};
        item.timer->async_wait([this, call, id, timedOut = taken < needed](error_code error) {
            if (!error && endRun(call, timedOut ? "timed out" : "completed"))
                respond(call, timedOut ? 504 : 200, id, names::seal);
        });
    }

    /// \returns false if the connection has closed and ended the run before.
    bool endRun(call_id call, std::string_view how)
    {
        const auto found = m_runs.find(call);
        if (found == m_runs.end())
            return false;
        m_checker.runEnded(found->second.id, how);
        m_runs.erase(found);
        return true;
    }

    void respond(call_id call, int status, const std::string &id, std::string_view mark)
    {
        http_response response;
        response.status = status;
        response.headers = {{std::string(names::requestId), id}, {std::string(mark), "seal-" + id}};
        response.body = std::make_shared<const std::string>(status == 200 ? expectedBody(id) : "");
        if (m_listener)
            m_listener->respond(call, response);
    }

    void start()
    {
        try {
            m_listener = std::make_unique<http_listener>(
                    m_loop, deployment::address(m_vm, endpoint::backend),
                    listener_callbacks{
                            [this](call_id call, const http_request &item) { handle(call, item); },
                            [this](call_id call) { endRun(call, "dropped"); },
                            [this]() -> const caller_limits & { return m_limits; },
                            [] { return false; }},
                    m_lastCall);
        } catch (const boost::system::system_error &) {
            // A child process holds the earlier socket from fork() until it runs its program.
            startAfter(milliseconds(100));
            return;
        }
        ++m_startedAt;
        m_sequence = 0;
        m_leaving = false;
        m_checker.serverStarted(m_vm);
        sendHeartbeat();
    }

    void startAfter(duration delay)
    {
        m_startTimer.expires_after(delay);
        m_startTimer.async_wait([this](error_code error) {
            if (!error)
                start();
        });
    }

    /// \brief Ends all runs and connections, and starts again after a while.
    void crash()
    {
        seeded_random random(m_seed + static_cast<std::uint64_t>(m_startedAt));
        exit(drawDuration(milliseconds(300), milliseconds(2000), random),
             "ended in a crash of its server");
    }

    void exit(duration restartDelay, std::string_view howRunsEnd)
    {
        if (!m_listener)
            return;
        m_listener.reset();
        for (const auto &[call, item] : std::exchange(m_runs, {}))
            m_checker.runEnded(item.id, howRunsEnd);
        m_heartbeatTimer.cancel();
        startAfter(restartDelay);
    }

    /// \brief Calls \a step after a while, unless the server has exited meanwhile.
    void after(duration delay, std::function<void()> step)
    {
        const std::shared_ptr<boost::asio::steady_timer> timer =
                std::make_shared<boost::asio::steady_timer>(m_loop, delay);
        timer->async_wait(
                [this, timer, start = m_startedAt, step = std::move(step)](error_code error) {
                    if (!error && m_listener && start == m_startedAt)
                        step();
                });
    }

    http_request report(std::string_view state)
    {
        nlohmann::json body = {{"address", deployment::address(m_vm, endpoint::backend).text()},
                               {"born", m_startedAt}};
        body["info"] = {{"service", deployment::serviceOf(m_vm)},
                        {"zone", deployment::zoneOf(m_vm)},
                        {"slots", slots}};
        body["status"] = {{"state", state}, {"sequence", ++m_sequence}};
        return notice("PUT", body);
    }
    std::string instance() const { return "i-" + std::to_string(m_vm); }
    http_request notice(std::string method, const nlohmann::json &body) const
    {
        return {std::move(method),
                std::string(names::heartbeatPath) + instance(),
                {{"Host", "control"}},
                std::make_shared<const std::string>(body.dump())};
    }
    void tell(const http_request &item, const std::function<void(bool acknowledged)> &done)
    {
        m_control.exchange(item, {}, monotonicNow() + seconds(1), connection_reuse::any,
                           [done](const exchange_result &result) {
                               done(result.end == exchange_outcome::completed
                                    && result.response.status == 200);
                           });
    }
    void sendNotice()
    {
        const http_request item =
                m_leavesByReport ? report("draining") : notice("DELETE", {{"born", m_startedAt}});
        tell(item, [this, start = m_startedAt](bool acknowledged) {
            if (start != m_startedAt || !m_listener)
                return;
            if (acknowledged)
                m_checker.departureAcknowledged(m_vm);
            else
                after(milliseconds(200), [this] { sendNotice(); });
        });
    }

    void sendHeartbeat()
    {
        if (!m_listener) // A heartbeat that was due when the server crashed.
            return;
        if (!m_leaving || (m_reportsWhileLeaving && !m_leavesByReport))
            tell(report("ready"), [](bool) {});
        m_heartbeatTimer.expires_after(milliseconds(500));
        m_heartbeatTimer.async_wait([this](error_code error) {
            if (!error)
                sendHeartbeat();
        });
    }

    boost::asio::io_context &m_loop;
    std::size_t m_vm;
    std::uint64_t m_seed;
    request_checker &m_checker;
    std::map<call_id, run> m_runs;
    call_id m_lastCall = 0;
    caller_limits m_limits;
    std::unique_ptr<http_listener> m_listener; ///< Absent while the server is down.
    connection_pool m_control;
    boost::asio::steady_timer m_heartbeatTimer;
    boost::asio::steady_timer m_startTimer;
    std::int64_t m_startedAt = 0; ///< Increases with each start.
    std::int64_t m_sequence = 0;
    bool m_leaving = false;
    bool m_leavesByReport = false; ///< Or by the notice.
    bool m_reportsWhileLeaving = false; ///< After the notice: goes on reporting that it is ready.
};

} // namespace tamarackridge::soak
