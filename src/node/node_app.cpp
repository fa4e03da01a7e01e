#include "node/node_app.h"

#include "node/error_reply.h"
#include "node/status_text.h"
#include "node/trace_lines.h"
#include "process/json_line.h"

#include <algorithm>
#include <utility>

namespace tamarackridge {
namespace {

http_client_options backendClientOptions(const node_settings &settings)
{
    http_client_options options;
    options.maxResponseBytes = static_cast<std::size_t>(settings.maxResponseBytes);
    options.maxHeaderBytes = maxResponseHeaderBytes;
    options.idleConnectionTimeout = std::chrono::seconds(settings.keptConnectionIdleSeconds);
    return options;
}

management_access managementAccessOf(const node_settings &settings)
{
    std::vector<std::string> addresses =
            settings.localAddresses.empty() ? interfaceAddresses() : settings.localAddresses;
    return {settings.adminToken, std::move(addresses), settings.backendAddress};
}

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::int64_t microsecondsSince(time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(monotonicNow() - start).count();
}

} // namespace

node_app::node_app(const node_settings &settings)
    : m_self{settings.zone, settings.name, m_random.next()}
    , m_spanWriter(settings.traceFile)
    , m_requestWriter(settings.requestFile)
    , m_peerLink({m_self, settings.peerBind, settings.fleetPublicKey, settings.fleetSecretKey},
                 m_metrics,
                 [this](const node_ref &from, peer_message message) {
                     m_runtime.post([&](node_core &core, time_point now, action_list &out) {
                         core.peerMessage(from, std::move(message), now, out);
                     });
                 })
    , m_backend(backendClientOptions(settings),
                [this](bool crashed, std::vector<finished_run> runs) {
                    onRunsFinished(crashed, std::move(runs));
                })
    , m_logAppender(settings.logAddress,
                    [this](append_id append, tl::expected<std::int64_t, error_kind> offset) {
                        m_runtime.post([&](node_core &core, time_point now, action_list &out) {
                            core.appendDone(append, offset, now, out);
                        });
                    })
    , m_logReaders(settings.logAddress,
                   [this](const std::string &stream, const log_page &page) {
                       m_runtime.post([&](node_core &core, time_point now, action_list &out) {
                           core.onLogRecords(stream, page.records, page.first, page.next, now, out);
                       });
                   })
    , m_runtime(optionsOf(settings, m_self.incarnation), m_random, *this)
    , m_managementEndpoints(managementServices(), managementAccessOf(settings))
    , m_callSeconds(m_metrics.histogram(
              "tamarackridge_call_seconds", "Time from a whole request to its answer.",
              {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}))
{
    addChildren(!settings.logAddress.empty());
    m_supervisor.step(supervisor::clock::now());
    m_runtime.post([](node_core &core, time_point now, action_list &out) { core.start(now, out); });
    m_server.emplace(settings.callers,
                     [this](http_request request, const caller_connection &connection) {
                         return handleRequest(std::move(request), connection);
                     });
    logLine(log_level::info, "node started", {{"zone", m_self.zone}, {"node", m_self.name}});
}

node_app::~node_app()
{
    if (m_server) {
        m_server->stopGracefully();
        m_server.reset();
    }
    m_supervisor.stop();
    logLine(log_level::info, "node stopped");
}

void node_app::addChildren(bool logConfigured)
{
    const auto add = [this](std::string name, auto run, std::function<void()> wake) {
        child_spec spec;
        spec.name = std::move(name);
        spec.run = run;
        spec.wake = std::move(wake);
        m_supervisor.add(std::move(spec));
    };
    using context = child_context;
    // The supervisor stops the threads in reverse order, so that the writers and the peer link run
    // until the threads that pass them work have ended.
    if (m_spanWriter.enabled())
        add(
                "spans", [this](context &c) { m_spanWriter.run(c); },
                [this] { m_spanWriter.wake(); });
    if (m_requestWriter.enabled())
        add(
                "requests", [this](context &c) { m_requestWriter.run(c); },
                [this] { m_requestWriter.wake(); });
    add(
            "peers", [this](context &c) { m_peerLink.run(c); }, [this] { m_peerLink.wake(); });
    add(
            "appender", [this](context &c) { m_logAppender.run(c); },
            [this] { m_logAppender.wake(); });
    add(
            "backend", [this](context &c) { m_backend.runClient(c); },
            [this] { m_backend.wakeClient(); });
    add(
            "prober", [this](context &c) { m_backend.runProber(c); },
            [this] { m_backend.wakeProber(); });
    for (std::size_t i = 0; logConfigured && i < log_readers::maxStreams; ++i) {
        add(
                "reader " + std::to_string(i), [this, i](context &c) { m_logReaders.run(i, c); },
                [this] { m_logReaders.wake(); });
    }
    add(
            "timers", [this](context &c) { m_runtime.runTimers(c); },
            [this] { m_runtime.wakeTimers(); });
}

management_services node_app::managementServices()
{
    management_services services;
    services.status = [this] {
        return m_runtime.query(
                [](const node_core &core, time_point now) { return core.status(now); });
    };
    services.allThreadsRunning = [this] { return m_supervisor.ready(); };
    services.metrics = [this] { return metricsText(); };
    services.announce = [this](const backend_announcement &announcement,
                               const http_target &target) {
        m_backend.setTarget(target);
        m_runtime.post([&](node_core &core, time_point now, action_list &out) {
            core.backendAnnounced(announcement, now, out);
        });
    };
    services.drain = [this] { drain(); };
    return services;
}

std::optional<std::string> node_app::supervise()
{
    m_supervisor.step(supervisor::clock::now());
    return m_supervisor.escalation();
}

void node_app::drain()
{
    if (m_leaving.exchange(true))
        return;
    logLine(log_level::info, "graceful shutdown started");
    m_server->closeAfterResponses();
    m_runtime.post([](node_core &core, time_point now, action_list &out) {
        core.beginShutdown(now, out);
    });
}

bool node_app::drained()
{
    return m_leaving.load()
           && m_runtime.query([](const node_core &core, time_point) { return core.drained(); });
}

http_response node_app::handleRequest(http_request request, const caller_connection &connection)
{
    if (std::optional<http_response> response = m_managementEndpoints.respond(request, connection))
        return std::move(*response);
    const time_point start = monotonicNow();
    if (!m_requestWriter.enabled()) {
        http_response response = processInCore(std::move(request), connection);
        m_callSeconds.Observe(static_cast<double>(microsecondsSince(start)) * 1e-6);
        return response;
    }
    http_request copy = request;
    http_response response = processInCore(std::move(request), connection);
    m_callSeconds.Observe(static_cast<double>(microsecondsSince(start)) * 1e-6);
    recordRequest(copy, response, start);
    return response;
}

http_response node_app::processInCore(http_request request, const caller_connection &connection)
{
    thread_local const wake_event wake;
    response_waiter waiter(wake);
    const call_id call = m_lastCallId.fetch_add(1, std::memory_order_relaxed) + 1;
    try {
        m_runtime.post([&](node_core &core, time_point now, action_list &out) {
            m_callers.insert(call, waiter);
            core.callerRequest(call, std::move(request), now, out);
        });
        if (waiter.wait(connection.socket))
            return std::move(waiter.response());
    } catch (...) {
        // The waiter is destroyed when this function returns, so a late response must not reach it.
        m_runtime.post([&](node_core &, time_point, action_list &) { m_callers.erase(call); });
        wake.consume();
        throw;
    }
    m_runtime.post([&](node_core &core, time_point now, action_list &out) {
        m_callers.erase(call);
        core.callerDisconnected(call, now, out);
    });
    // A response may have arrived between the end of the wait and the event above. Its wake event
    // must not end the wait of the next request on this thread.
    wake.consume();
    return errorReply(error_kind::cancelled);
}

void node_app::recordRequest(const http_request &request, const http_response &response,
                             time_point start)
{
    // Headers and the query are not recorded: they may contain keys, handles and personal data.
    const std::string path = request.target.substr(0, request.target.find('?'));
    m_requestWriter.write(
            json_line()
                    .add("time", utcNow())
                    .add("method", request.method)
                    .add("path", path)
                    .add("body_bytes", bodyView(request.body).size())
                    .add("status", response.status)
                    .add("error", headerValue(response.headers, "Tamarackridge-Error"))
                    .add("run_state", headerValue(response.headers, "Tamarackridge-Run-State"))
                    .add("duration_us", microsecondsSince(start))
                    .finish());
}

void node_app::onRunsFinished(bool crashed, std::vector<finished_run> runs)
{
    m_runtime.post([&](node_core &core, time_point now, action_list &out) {
        if (crashed)
            core.backendCrashed(now, out);
        for (finished_run &item : runs)
            core.backendResponse(item.run, std::move(item.result), now, out);
    });
}

std::string node_app::metricsText()
{
    updateStatusGauges(
            m_runtime.query([](const node_core &core, time_point now) { return core.status(now); }),
            m_metrics);
    m_metrics.gauge("tamarackridge_child_restarts", "Restarted threads of this process.")
            .Set(static_cast<double>(m_supervisor.restarts()));
    m_metrics.gauge("tamarackridge_lines_dropped", "Spans and records that were not written.")
            .Set(static_cast<double>(m_spanWriter.dropped() + m_requestWriter.dropped()));
    return m_metrics.text();
}

void node_app::execute(respond_to_caller item)
{
    m_callers.complete(item.call, std::move(item.response));
}

void node_app::execute(run_backend item)
{
    m_backend.run(std::move(item));
}

void node_app::execute(cancel_run item)
{
    m_backend.cancel(item);
}

void node_app::execute(send_peer item)
{
    m_peerLink.send(std::move(item));
}

void node_app::execute(connect_peer item)
{
    m_peerLink.connect(std::move(item));
}

void node_app::execute(disconnect_peer item)
{
    m_peerLink.disconnect(std::move(item));
}

void node_app::execute(append_log item)
{
    m_logAppender.append(std::move(item));
}

void node_app::execute(read_log item)
{
    m_logReaders.read(item);
}

void node_app::execute(stop_reading item)
{
    m_logReaders.stop(item);
}

void node_app::execute(emit_span item)
{
    if (m_spanWriter.enabled())
        m_spanWriter.write(
                spanLine(item, m_self, unixMicroseconds() - microsecondsSince(item.start)));
}

} // namespace tamarackridge
