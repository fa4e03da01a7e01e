#include "sidecar/sidecar_app.h"

#include <chrono>
#include <csignal>
#include <utility>
#include <variant>

namespace tamarackridge {
namespace {

constexpr duration sweepInterval = std::chrono::milliseconds(100);
// At the time limit of a stop, callers get this time to receive the last responses.
constexpr duration lastResponsePeriod = std::chrono::milliseconds(300);

http_response plainResponse(int status, std::string_view type, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"Content-Type", std::string(type)});
    response.body = std::make_shared<const std::string>(std::move(body));
    return response;
}

http_response jsonResponse(int status, std::string_view error)
{
    json_line body;
    if (!error.empty())
        body.add("error", error);
    return plainResponse(status, "application/json", body.finish());
}

/// \returns the instance that \a notice says is leaving, if it says so.
std::optional<std::string> leavingInstance(const server_notice &notice)
{
    if (const leave_notice *leave = std::get_if<leave_notice>(&notice))
        return leave->instance;
    const server_report *report = std::get_if<server_report>(&notice);
    return report != nullptr && report->leaving ? std::optional<std::string>(report->instance)
                                                : std::nullopt;
}

std::int64_t microseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace

sidecar_app::sidecar_app(boost::asio::io_context &loop, const sidecar_settings &settings,
                         platform_gateway &platform)
    : m_loop(loop)
    , m_settings(settings)
    , m_platform(platform)
    , m_self{settings.zone, settings.name, m_random.next() | 1U}
    , m_core(
              coreOptions(),
              [&platform](std::string_view text) { return platform.decodeSet(text); }, *this,
              m_random)
    , m_callers(loop, settings.callers, callerCallbacks(), m_lastCall)
    , m_health(loop, settings.health, endpointCallbacks(&sidecar_app::serveHealth), m_lastCall)
    , m_control(loop, settings.control, endpointCallbacks(&sidecar_app::serveNotice), m_lastCall)
    , m_metrics(loop, settings.metrics, endpointCallbacks(&sidecar_app::serveMetrics), m_lastCall)
    , m_server(loop, settings.backend, platform.responseHeaderNames(),
               [this](run_id run, backend_result result, bool connectionRefused) {
                   post([&](time_point now, action_list &out) {
                       m_core.backendResponse(run, std::move(result), now, out);
                       if (connectionRefused)
                           m_core.backendCrashed(now, out);
                   });
               })
    , m_peers(loop, settings.peers, m_self, linkCallbacks())
    , m_store(loop, platform, settings.name, settings.peers.text(), m_random, storeCallbacks())
    , m_departures(platform, settings.name, m_random, departureCallbacks())
    , m_crashes(platform, m_random,
                [this](const std::vector<crash_record> &records) {
                    post([&](time_point now, action_list &out) {
                        m_core.crashRecordsRead(records, now, out);
                    });
                })
    , m_tickTimer(loop)
    , m_sweepTimer(loop)
    , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
{
    m_server.onServerDown([this] {
        post([this](time_point now, action_list &out) { m_core.backendCrashed(now, out); });
    });
    m_server.onRunEnded(
            [this](const ended_run &run, const backend_result &result) { runEnded(run, result); });
}

sidecar_options sidecar_app::coreOptions() const
{
    sidecar_options options;
    options.self = m_self;
    options.peerEndpoint = m_settings.peers.text();
    options.service = m_settings.service;
    options.serverAddress = m_settings.backend.text();
    options.headers = m_platform.headers();
    options.zones = m_settings.zones.size();
    return options;
}

listener_callbacks sidecar_app::callerCallbacks()
{
    listener_callbacks callbacks;
    callbacks.request = [this](call_id call, http_request request) {
        post([&](time_point now, action_list &out) {
            m_core.callerRequest(call, std::move(request), now, out);
        });
    };
    callbacks.callerDisconnected = [this](call_id call) {
        post([&](time_point now, action_list &out) { m_core.callerDisconnected(call, now, out); });
    };
    callbacks.limits = [this]() -> const caller_limits & { return m_core.limits(); };
    callbacks.leaving = [this] { return m_core.leaving(); };
    return callbacks;
}

listener_callbacks sidecar_app::endpointCallbacks(void (sidecar_app::*handle)(call_id,
                                                                              const http_request &))
{
    listener_callbacks callbacks;
    callbacks.request = [this, handle](call_id call, const http_request &request) {
        (this->*handle)(call, request);
    };
    callbacks.callerDisconnected = [](call_id) {};
    callbacks.limits = [this]() -> const caller_limits & { return m_core.limits(); };
    callbacks.leaving = [] { return false; };
    return callbacks;
}

peer_callbacks sidecar_app::linkCallbacks()
{
    peer_callbacks callbacks;
    callbacks.received = [this](const node_ref &from, peer_message message) {
        post([&](time_point now, action_list &out) {
            m_core.peerMessage(from, std::move(message), now, out);
        });
    };
    callbacks.restarted = [this](const std::string &node, incarnation_id incarnation) {
        post([&](time_point now, action_list &out) {
            m_core.peerRestarted(node, incarnation, now, out);
        });
    };
    callbacks.unresponsive = [this](const std::string &node) {
        post([&](time_point now, action_list &out) { m_core.peerUnresponsive(node, now, out); });
    };
    callbacks.dispatchNotSent = [this](const std::string &node, const dispatch_id &id) {
        post([&](time_point now, action_list &out) {
            m_core.dispatchNotSent(node, id.sequence, now, out);
        });
    };
    callbacks.linkChanged = [this](const std::string &node, bool open) {
        m_log.write(line_class::process, open ? "link opened" : "link lost",
                    json_line().add("peer", node));
    };
    return callbacks;
}

store_callbacks sidecar_app::storeCallbacks()
{
    store_callbacks callbacks;
    callbacks.setReceived = [this](const std::string &text) {
        post([&](time_point now, action_list &out) {
            m_core.configurationRead(text, "store", now, out);
        });
    };
    callbacks.nodesReceived = [this](const std::vector<seed_peer> &members) {
        post([&](time_point now, action_list &out) { m_core.membersListed(members, now, out); });
    };
    callbacks.firstEraRead = [this](store_era era) { m_departures.setFirstEra(era); };
    callbacks.reachabilityChanged = [this](bool reachable, std::string_view error) {
        m_log.write(line_class::process, reachable ? "store regained" : "store lost",
                    json_line().add("fault", error));
    };
    callbacks.knowsPeers = [this] { return m_core.status(monotonicNow()).membersKnown > 1; };
    callbacks.restored = [this] {
        m_departures.storeRestored();
        m_crashes.storeRestored();
        m_log.write(line_class::process, "store restored",
                    json_line().add("configuration", m_core.status(monotonicNow()).configVersion));
    };
    callbacks.recordRefused = [this](std::string_view reason) {
        m_log.write(line_class::failure, "record refused", json_line().add("fault", reason));
    };
    return callbacks;
}

departure_callbacks sidecar_app::departureCallbacks()
{
    departure_callbacks callbacks;
    callbacks.read = [this](const recorded_departures &records) {
        post([&](time_point now, action_list &out) { m_core.departuresRead(records, now, out); });
    };
    callbacks.recorded = [this](const server_departure &departure, duration took) {
        m_log.write(
                line_class::process, "departure recorded",
                json_line().add("instance", departure.instance).add("took_us", microseconds(took)));
    };
    return callbacks;
}

template <typename Event>
void sidecar_app::post(Event event)
{
    event(monotonicNow(), m_actions);
    if (m_performing)
        return;
    m_performing = true;
    // Performing an action can post further events, whose actions are appended to the list.
    for (std::size_t next = 0; next < m_actions.size(); ++next) {
        const action item = std::move(m_actions[next]);
        perform(item);
    }
    m_actions.clear();
    m_performing = false;
    m_crashes.flush();
}

void sidecar_app::perform(const action &item)
{
    if (const respond_to_caller *response = std::get_if<respond_to_caller>(&item))
        m_callers.respond(response->call, response->response);
    else if (const run_backend *run = std::get_if<run_backend>(&item))
        m_server.run(*run);
    else if (const cancel_run *cancel = std::get_if<cancel_run>(&item))
        m_server.cancel(cancel->run);
    else if (const send_peer *send = std::get_if<send_peer>(&item))
        m_peers.send(send->node, send->receiver, send->message, send->expiresAt);
    else if (const connect_peer *connect = std::get_if<connect_peer>(&item))
        m_peers.connect(connect->node, connect->endpoint);
    else if (const disconnect_peer *disconnect = std::get_if<disconnect_peer>(&item))
        m_peers.disconnect(disconnect->node);
    else if (const record_departure *record = std::get_if<record_departure>(&item))
        m_departures.record(record->departure);
    else if (const record_crash *crash = std::get_if<record_crash>(&item))
        recordCrash(*crash);
    else if (const check_server *check = std::get_if<check_server>(&item))
        checkServer(*check);
}

void sidecar_app::recordCrash(const record_crash &crash)
{
    if (crash.updateOnly)
        m_crashes.update(crash.record);
    else
        m_crashes.record(crash.record);
}

void sidecar_app::checkServer(const check_server &check)
{
    m_server.check(check, [this, instance = check.instance](bool passed) {
        m_log.write(line_class::process, "server checked",
                    json_line().add("instance", instance).add("passed", passed));
        post([&](time_point now, action_list &out) {
            m_core.serverChecked(instance, passed, now, out);
        });
    });
}

void sidecar_app::serveHealth(call_id call, const http_request &)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    m_health.respond(call, jsonResponse(m_core.ready() ? ok : unavailable, {}));
}

void sidecar_app::serveNotice(call_id call, const http_request &request)
{
    constexpr int ok = 200;
    constexpr int badRequest = 400;
    const server_notice notice = m_platform.decodeNotice(request);
    if (const invalid_notice *invalid = std::get_if<invalid_notice>(&notice)) {
        m_log.write(line_class::failure, "notice refused",
                    json_line().add("fault", invalid->error));
        m_control.respond(call, jsonResponse(badRequest, invalid->error));
        return;
    }
    if (!forwardNotice(notice))
        m_control.respond(call, jsonResponse(badRequest, "out of date, or about another server"));
    else if (const std::optional<std::string> leaving = leavingInstance(notice))
        acknowledgeDeparture(call, *leaving);
    else
        m_control.respond(call, jsonResponse(ok, {}));
}

void sidecar_app::acknowledgeDeparture(call_id call, const std::string &instance)
{
    m_departures.whenRecorded(instance, [this, call, instance](bool recorded) {
        constexpr int ok = 200;
        constexpr int unavailable = 503;
        if (recorded) {
            m_control.respond(call, jsonResponse(ok, {}));
            return;
        }
        m_log.write(line_class::failure, "departure not acknowledged",
                    json_line().add("instance", instance).add("fault", "not in the store yet"));
        m_control.respond(call, jsonResponse(unavailable,
                                             "the server gets no new requests, but this is not in "
                                             "the store yet; send the notice again"));
    });
}

bool sidecar_app::forwardNotice(const server_notice &notice)
{
    bool accepted = true;
    post([&](time_point now, action_list &out) {
        if (const server_report *report = std::get_if<server_report>(&notice))
            accepted = m_core.serverReported(*report, now, out);
        else if (const leave_notice *leave = std::get_if<leave_notice>(&notice))
            m_core.serverLeaving(leave->instance, leave->startedAt, now, out);
    });
    if (!accepted) {
        const server_report &report = std::get<server_report>(notice);
        m_log.write(line_class::failure, "heartbeat not acted upon",
                    json_line()
                            .add("instance", report.instance)
                            .add("service", report.service)
                            .add("address", report.address)
                            .add("sequence", report.sequence));
    }
    return accepted;
}

void sidecar_app::serveMetrics(call_id call, const http_request &)
{
    m_metrics.respond(call, plainResponse(200, "text/plain; version=0.0.4", metricsText()));
}

std::string sidecar_app::metricsText()
{
    const node_status status = m_core.status(monotonicNow());
    std::string text;
    const auto add = [&text](const std::string &name, auto value) {
        appendSample("tamarackridge_" + name, {}, static_cast<double>(value), text);
    };
    for (const auto &[name, value] : status.counters)
        add(name + "_total", value);
    for (const auto &[code, count] : m_responsesByStatus)
        appendSample("tamarackridge_answers_total", "status=\"" + std::to_string(code) + '"',
                     static_cast<double>(count), text);
    add("configuration_version", status.configVersion);
    add("ready", status.ready ? 1 : 0);
    add("calls_in_flight", status.callsInFlight);
    add("members_known", status.membersKnown);
    add("server_limit", status.load.limit);
    add("server_in_flight", status.load.inFlight);
    add("server_queued", status.load.queued);
    add("server_connections_opened_total", m_server.pool().opened());
    add("caller_connections", m_callers.connections());
    add("peer_frames_sent_total", m_peers.counts().framesSent);
    add("peer_bytes_sent_total", m_peers.counts().bytesSent);
    add("peer_acknowledgements_sent_total", m_peers.counts().acknowledgementsSent);
    add("peer_frames_expired_total", m_peers.counts().framesExpired);
    add("peer_frames_refused_total", m_peers.counts().framesRefused);
    add("store_faults_total", m_store.errors() + m_departures.errors() + m_crashes.errors());
    add("departures_unrecorded", m_departures.unrecorded());
    add("crashes_unrecorded", m_crashes.unrecorded());
    add("log_lines_dropped_total", m_log.dropped());
    m_latency.appendText("tamarackridge_call_seconds", text);
    return text;
}

void sidecar_app::requestEnded(const ended_request &request)
{
    ++m_responsesByStatus[request.status];
    m_latency.observe(request.elapsed);
    json_line line;
    line.add("request", request.requestId)
            .add("route", request.route)
            .add("service", request.service)
            .add("customer", request.customer)
            .add("executor", request.executor)
            .add("status", request.status)
            .add("run_state", toString(request.state))
            .add("error", request.error)
            .add("attempts", request.attempts)
            .add("configuration", request.configVersion)
            .add("took_us", microseconds(request.elapsed))
            .add("objective_us", microseconds(request.objective));
    const bool late = request.objective > duration::zero() && request.elapsed > request.objective;
    line_class kind = late ? line_class::failure : line_class::success;
    if (!request.error.empty())
        kind = request.state == run_state::not_run ? line_class::refusal : line_class::failure;
    m_log.write(kind, "request ended", std::move(line));
}

void sidecar_app::runEnded(const ended_run &run, const backend_result &result)
{
    json_line line;
    line.add("request", run.requestId)
            .add("run", run.run)
            .add("status", result.response ? result.response->status : 0)
            .add("error",
                 result.response ? std::string_view() : responseFor(result.response.error()).name)
            .add("broken_by", run.brokenBy)
            .add("bytes_sent", result.bytesSent)
            .add("took_us", microseconds(run.elapsed));
    m_log.write(result.response ? line_class::success : line_class::failure, "run ended",
                std::move(line));
}

void sidecar_app::knownStateChanged(std::string_view subject, std::string_view knownState,
                                    std::string_view source)
{
    m_log.write(
            line_class::process, "belief changed",
            json_line().add("subject", subject).add("belief", knownState).add("source", source));
}

void sidecar_app::runInterrupted(run_id run, const request_identity &identity,
                                 std::string_view path)
{
    // A path can be as long as the callers' limit of the header allows.
    constexpr std::size_t maxPath = 200;
    m_log.write(line_class::failure, "run interrupted",
                json_line()
                        .add("run", run)
                        .add("identity", toString(identity.request))
                        .add("variant", toString(identity.variant))
                        .add("path", path.substr(0, maxPath)));
}

void sidecar_app::runRefused(std::string_view requestId, error_kind reason,
                             std::string_view identity)
{
    m_log.write(line_class::refusal, "run refused",
                json_line()
                        .add("request", requestId)
                        .add("error", responseFor(reason).name)
                        .add("identity", identity));
}

void sidecar_app::tick()
{
    post([&](time_point now, action_list &out) { m_core.tick(now, out); });
    m_peers.acknowledge();
    m_tickTimer.expires_after(m_core.nextTick() - monotonicNow());
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void sidecar_app::sweep()
{
    const time_point now = monotonicNow();
    m_callers.sweep(now);
    m_health.sweep(now);
    m_control.sweep(now);
    m_metrics.sweep(now);
    m_server.sweep(now);
    m_peers.sweep(now);
    m_platform.sweep(now);
    m_departures.sweep(now);
    m_crashes.sweep(now);
    m_log.flush(now);
    endIfStopped(now);
    if (m_loop.stopped())
        return;
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            sweep();
    });
}

void sidecar_app::endIfStopped(time_point now)
{
    if (m_unfinished) {
        if (!m_callers.busy() || now >= m_stopDeadline)
            end("time limit", *m_unfinished);
        return;
    }
    if (m_core.drained(now) && !m_callers.busy() && !m_peers.awaitsResponseDelivery(now)) {
        end("drained", m_core.status(now));
    } else if (now >= m_stopDeadline) {
        m_unfinished = m_core.status(now);
        m_stopDeadline = now + lastResponsePeriod;
        post([this](time_point current, action_list &out) { m_core.endUnfinished(current, out); });
    }
}

void sidecar_app::end(std::string_view cause, const node_status &atEnd)
{
    const time_point now = monotonicNow();
    m_log.write(line_class::process, "stopped",
                json_line()
                        .add("node", m_self.name)
                        .add("cause", cause)
                        .add("requests_cut", atEnd.callsInFlight)
                        .add("runs_cut", atEnd.load.inFlight)
                        .add("callers_busy", m_callers.busy())
                        .add("peers_await_responses", m_peers.awaitsResponseDelivery(now)));
    m_log.flush(now);
    m_loop.stop();
}

void sidecar_app::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            m_log.write(line_class::process, "settings unchanged",
                        json_line().add("cause", "SIGHUP; addresses change with a restart only"));
        else
            stop("signal");
        awaitSignal();
    });
}

void sidecar_app::stop(std::string_view cause)
{
    if (m_core.leaving())
        return;
    const stop_limits limits = stopLimits(m_settings);
    m_log.write(line_class::process, "stopping",
                json_line().add("cause", cause).add("limit_us", microseconds(limits.all)));
    m_stopDeadline = monotonicNow() + limits.all;
    post([&](time_point now, action_list &out) {
        m_core.beginShutdown(now, now + limits.admitted, out);
    });
    m_store.leave();
}

void sidecar_app::run()
{
    start();
    m_loop.run();
}

void sidecar_app::start()
{
    m_log.write(line_class::process, "started",
                json_line()
                        .add("node", m_self.name)
                        .add("zone", m_self.zone)
                        .add("service", m_settings.service)
                        .add("incarnation", m_self.incarnation));
    awaitSignal();
    tick();
    sweep();
    m_store.start();
    m_departures.start();
    m_crashes.start();
}

} // namespace tamarackridge
