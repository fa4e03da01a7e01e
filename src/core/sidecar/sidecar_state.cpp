#include "core/sidecar/sidecar_state.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace tamarackridge::internal {
namespace {

constexpr duration tickInterval = std::chrono::milliseconds(20);
// Callers switch to other nodes after two health checks, one second apart, that report this node as
// not ready. Requests that arrive until then are still served; later ones come from callers that
// cannot switch, and serving them would keep this process from ever being idle.
constexpr duration callerSwitchGrace = std::chrono::milliseconds(2500);
// Minimum interval between two requests for a newer configuration, whichever peers have it.
constexpr duration fetchInterval = std::chrono::milliseconds(200);
// Traffic between zones is billed, and the speeds of healthy servers of one service differ by a
// factor of up to three; a faulty server is slower by more than that.
constexpr double spilloverDelayRatio = 3.5;
// Some backend servers slow down when nearly all of their slots are in use.
constexpr double usableSlotShare = 0.95;
// Allows 5 retries per 100 requests of a service, so that all nodes together stay well below the
// limit of the deployments (0.2 of the requests, including retries of onward calls).
constexpr retry_budget_options serviceRetryBudget{5, 0, 3};

/// \returns whether \a report was sent after \a other by a server at the same address.
bool isNewer(const server_report &report, const server_report &other)
{
    if (report.startedAt != other.startedAt)
        return report.startedAt > other.startedAt;
    return report.instance != other.instance || report.sequence > other.sequence;
}

member selfMember(const sidecar_options &options)
{
    member self;
    self.node = options.self;
    self.endpoint = options.peerEndpoint;
    return self;
}

router_options routerOptions(const sidecar_options &options)
{
    router_options result;
    result.node = options.self.name;
    result.zone = options.self.zone;
    result.spilloverDelayRatio = spilloverDelayRatio;
    result.spilloverWhenFull = true;
    return result;
}

concurrency_limit_options limitOptions()
{
    concurrency_limit_options options;
    options.adaptive = false;
    options.usableSlotFraction = usableSlotShare;
    options.initialLimit = options.maxLimit; // Uses the announced slots from the start.
    return options;
}

} // namespace

sidecar_state::sidecar_state(sidecar_options options, set_decoder decoder,
                             decision_observer &observer, random_source &random)
    : m_options(std::move(options))
    , m_decoder(std::move(decoder))
    , m_observer(observer)
    , m_membership(selfMember(m_options), {}, overlay_options{}, time_point{})
    , m_router(routerOptions(m_options))
    , m_runHeaders(m_options.headers)
    , m_executor(
              m_runHeaders, limitOptions(), m_counters, random,
              [this](owned_response result, time_point now, action_list &out) {
                  if (result.owner == m_options.self)
                      m_dispatcher.dispatchResponse(result.owner.name, std::move(result.response),
                                                    now, out);
                  else
                      m_membership.sendToProcess(result.owner, std::move(result.response), out,
                                                 result.expiresAt);
              },
              [this](const overlay_entry &entry, action_list &out) {
                  m_membership.publish(entry, out);
                  out.push_back(record_crash{*decodeCrashRecord(entry.key, entry.payload)});
              })
    , m_dispatcher(
              m_options.self, m_membership, m_router, m_executor, m_counters, random,
              retry_budget_table(retry_budget_table::scope::service, serviceRetryBudget),
              attempt_timeout::all_remaining,
              [this](dispatcher::request_number owned, request_outcome outcome, time_point now,
                     action_list &out) {
                  m_requestHandler.outcome(owned, std::move(outcome), now, out);
              },
              [](const ledger_key &, const http_response &) {})
    , m_routingUpdater(m_membership, m_router, m_dispatcher)
    , m_quota(m_options.self, m_options.zones, m_membership, random)
    , m_requestHandler(m_options, m_dispatcher, m_executor, m_quota, m_counters, observer)
{
    m_executor.observeQuarantine(*this);
}

std::int64_t sidecar_state::version() const
{
    return m_requestHandler.table() == nullptr ? -1 : m_requestHandler.table()->set().version;
}

const caller_limits &sidecar_state::limits() const
{
    static const caller_limits defaults;
    return m_requestHandler.table() == nullptr ? defaults : m_requestHandler.table()->set().limits;
}

void sidecar_state::configurationRead(std::string_view text, std::string_view source,
                                      time_point now)
{
    tl::expected<published_set, std::string> set = m_decoder(text);
    if (!set) {
        m_observer.knownStateChanged("configuration", "refused: " + set.error(), source);
        return;
    }
    if (set->version <= version())
        return;
    m_observer.knownStateChanged("configuration", "version " + std::to_string(set->version),
                                 source);
    m_quota.configure(set->customers, now);
    m_requestHandler.install(std::make_shared<route_table>(std::move(*set)));
}

void sidecar_state::membersListed(const std::vector<seed_peer> &members, time_point now)
{
    std::vector<std::pair<std::string, std::string>> seeds;
    seeds.reserve(members.size());
    for (const seed_peer &item : members)
        seeds.emplace_back(item.node, item.endpoint);
    m_quota.setListedNodes(seeds.size(), now);
    m_membership.setSeeds(std::move(seeds), now);
}

// Message types of fleets that use the platform log are ignored by a sidecar.
template <typename Message>
void sidecar_state::handle(const node_ref &, Message &, time_point, action_list &)
{ }

template <>
void sidecar_state::handle(const node_ref &from, dispatch &message, time_point now,
                           action_list &out)
{
    m_executor.accept(from, std::move(message), now, out);
}

template <>
void sidecar_state::handle(const node_ref &from, dispatch_response &message, time_point now,
                           action_list &out)
{
    noteLeavingServer(from.name, message, now);
    m_dispatcher.dispatchResponse(from.name, std::move(message), now, out);
}

template <>
void sidecar_state::handle(const node_ref &, dispatch_cancel &message, time_point now,
                           action_list &out)
{
    m_executor.cancel(message.id, now, out);
}

template <>
void sidecar_state::handle(const node_ref &from, token_request &message, time_point now,
                           action_list &out)
{
    m_quota.onRequest(from, message, now, out);
}

template <>
void sidecar_state::handle(const node_ref &from, token_grant &message, time_point now,
                           action_list &out)
{
    m_quota.onGrant(from, message, now);
    m_requestHandler.tokensArrived(now, out);
    // Requests tokens that the local zone lacks from another zone immediately.
    m_quota.tick(now, out);
}

template <>
void sidecar_state::handle(const node_ref &from, token_report &message, time_point now,
                           action_list &)
{
    m_quota.onReport(from, message, now);
}

template <>
void sidecar_state::handle(const node_ref &from, heartbeat &message, time_point now,
                           action_list &out)
{
    m_membership.onHeartbeat(from, message, now, out);
    m_router.onHeartbeat(from.name, message.load);
    if (message.configVersion > version() && now >= m_nextFetch) {
        m_nextFetch = now + fetchInterval;
        m_membership.send(from.name, config_fetch{version()}, out);
    }
}

template <>
void sidecar_state::handle(const node_ref &from, entry_summary &message, time_point,
                           action_list &out)
{
    m_membership.onSummary(from, message, out);
}

template <>
void sidecar_state::handle(const node_ref &from, entries &message, time_point now, action_list &out)
{
    applyChanges(m_membership.onEntries(from, message, now, out), now, out);
}

template <>
void sidecar_state::handle(const node_ref &from, config_fetch &message, time_point,
                           action_list &out)
{
    if (message.haveVersion >= version())
        return;
    const published_set &set = m_requestHandler.table()->set();
    m_membership.send(from.name, config_state{set.version, -1, *set.text}, out);
}

template <>
void sidecar_state::handle(const node_ref &from, config_state &message, time_point now,
                           action_list &)
{
    configurationRead(message.set, from.name, now);
}

void sidecar_state::peerMessage(const node_ref &from, peer_message message, time_point now,
                                action_list &out)
{
    std::visit([&](auto &content) { handle(from, content, now, out); }, message);
}

void sidecar_state::peerRestarted(std::string_view node, incarnation_id incarnation, time_point now,
                                  action_list &out)
{
    m_observer.knownStateChanged(node, "restarted", "link");
    m_dispatcher.executorRestarted(node, incarnation, now, out);
    m_membership.restoreMembershipOf(node, out);
}

void sidecar_state::peerUnresponsive(std::string_view node, time_point now, action_list &out)
{
    m_observer.knownStateChanged(node, "does not read", "link");
    m_dispatcher.executorSuspected(node, now, out);
}

void sidecar_state::applyChanges(const overlay_changes &changes, time_point now, action_list &out)
{
    m_routingUpdater.applyMembers(changes, now, out);
    if (const std::optional<server_departure> &earlier = changes.earlierDeparture)
        serverLeaving(earlier->instance, earlier->startedAt, now, out);
    if (changes.earlierServerKnown) {
        m_departuresKnown = true;
        m_crashesKnown = true;
        acceptReadyReports(now, out);
    }
    for (const std::string &name : changes.members) {
        const directory::record *record = m_membership.members().find(name);
        if (record == nullptr)
            continue;
        constexpr std::string_view health[] = {"alive", "suspect", "dead"};
        std::string knownState(toString(record->info.state));
        knownState.append(", ").append(health[static_cast<std::size_t>(record->health)]);
        knownState.append(", entry ").append(std::to_string(record->info.counter));
        m_observer.knownStateChanged(name, knownState, "overlay");
    }
    for (const overlay_entry &entry : changes.otherEntries) {
        if (entry.kind == entry_kind::quarantine)
            applyQuarantineEntry(entry, now, out);
    }
}

void sidecar_state::applyQuarantineEntry(const overlay_entry &entry, time_point now,
                                         action_list &out)
{
    reportQuarantined(entry, "overlay");
    m_executor.quarantineEntry(entry, now);
    // The node that saw the crash may not reach the store, so one node of each zone records it too.
    const std::optional<crash_record> record = decodeCrashRecord(entry.key, entry.payload);
    if (record)
        out.push_back(record_crash{*record, !record->quarantined || m_membership.rank() != 0});
}

void sidecar_state::crashRecordsRead(std::span<const crash_record> records, time_point now,
                                     action_list &out)
{
    for (const crash_record &record : records) {
        const overlay_entry entry = encodeCrashRecord(record);
        if (!m_executor.quarantineEntry(entry, now))
            continue;
        reportQuarantined(entry, "store");
        // Nodes that cannot read the store learn of the records in this way.
        if (record.quarantined)
            m_membership.publish(entry, out);
        else
            m_membership.store(entry);
    }
    m_crashesKnown = true;
    acceptReadyReports(now, out);
}

void sidecar_state::crashAttributed(std::span<const overlay_entry> entries)
{
    const std::ptrdiff_t quarantined =
            std::ranges::count_if(entries, [](const overlay_entry &entry) {
                const std::optional<crash_record> record =
                        decodeCrashRecord(entry.key, entry.payload);
                return record && record->quarantined;
            });
    m_observer.knownStateChanged("crash of " + m_serverReport.instance,
                                 std::to_string(std::ssize(entries) - quarantined)
                                         + " requests suspected, " + std::to_string(quarantined)
                                         + " quarantined",
                                 "interrupted runs");
    for (const overlay_entry &entry : entries)
        reportQuarantined(entry, "crash of " + m_serverReport.instance);
}

void sidecar_state::reportQuarantined(const overlay_entry &entry, std::string_view source)
{
    const std::optional<crash_record> record = decodeCrashRecord(entry.key, entry.payload);
    if (record && record->quarantined)
        m_observer.knownStateChanged("request " + entry.key,
                                     "quarantined, crashes " + std::to_string(record->crashes),
                                     source);
}

void sidecar_state::runInterrupted(run_id run, const request_identity &identity,
                                   std::string_view target)
{
    // The query can contain data of the caller that do not belong into a log.
    m_observer.runInterrupted(run, identity, target.substr(0, target.find('?')));
}

void sidecar_state::quarantinedRefused(const http_request &request, const fingerprint &quarantined)
{
    m_observer.runRefused(headerValue(request.headers, m_options.headers.requestId),
                          error_kind::request_quarantined, toString(quarantined));
}

void sidecar_state::recordDeparture(std::string_view instance,
                                    std::optional<std::int64_t> startedAt, time_point now,
                                    action_list &out)
{
    std::erase_if(m_departures, [now](const auto &entry) { return now >= entry.second.until; });
    if (!startedAt && instance == m_serverReport.instance)
        startedAt = m_serverReport.startedAt;
    const auto [entry, isNew] = m_departures.try_emplace(std::string(instance));
    departure &known = entry->second;
    const bool isChanged = isNew || (startedAt && known.startedAt != startedAt);
    const bool expiresSoon = known.until - now < departureRetention / 2;
    if (isChanged)
        known.startedAt = startedAt;
    if (isChanged || expiresSoon) {
        known.until = now + departureRetention;
        out.push_back(record_departure{{std::string(instance), known.startedAt}});
    }
    m_membership.setDeparture({std::string(instance), known.startedAt}, out);
}

void sidecar_state::applyDeparture(const server_departure &departure, std::string_view source,
                                   time_point now, action_list &out)
{
    m_observer.knownStateChanged("backend server", departure.instance + " leaving", source);
    // A process that has just started can receive a notice before the first report.
    if (departure.instance != m_serverReport.instance
        || departure.startedAt.value_or(m_serverReport.startedAt) < m_serverReport.startedAt)
        return;
    m_serverReport.leaving = true;
    m_executor.stopAccepting(error_kind::leaving, now, out);
    announceSelf(now, out);
}

void sidecar_state::departuresRead(const recorded_departures &records, time_point now,
                                   action_list &out)
{
    for (const server_departure &item : records.departures) {
        const auto [entry, isNew] = m_departures.try_emplace(
                item.instance, departure{item.startedAt, now + departureRetention});
        if (!isNew)
            continue;
        m_membership.setDeparture(item, out);
        applyDeparture(item, "store", now, out);
    }
    if (records.complete) {
        m_departuresKnown = true;
        acceptReadyReports(now, out);
        return;
    }
    m_observer.knownStateChanged("departures", "may be missing", "restored store");
    m_departuresMayBeMissing = true;
    checkWaitingServer(now, out);
}

void sidecar_state::checkWaitingServer(time_point now, action_list &out)
{
    const route_table *table = m_requestHandler.table();
    const bool isNeeded = m_departuresMayBeMissing && !m_departuresKnown;
    if (!isNeeded || !m_waitingReport || m_checkPending || table == nullptr)
        return;
    const std::vector<published_service> &services = table->set().services;
    const auto found = std::ranges::find(services, m_options.service, &published_service::name);
    if (found == services.end() || found->healthPath.empty()) {
        m_departuresKnown = true;
        acceptReadyReports(now, out);
        return;
    }
    m_checkPending = true;
    out.push_back(check_server{m_waitingReport->instance, found->healthPath});
}

void sidecar_state::serverChecked(std::string_view instance, bool passed, time_point now,
                                  action_list &out)
{
    m_checkPending = false;
    // The next report requests the next check.
    if (!passed || !m_waitingReport || m_waitingReport->instance != instance)
        return;
    m_observer.knownStateChanged("backend server", std::string(instance) + " not leaving",
                                 "health check");
    m_departuresKnown = true;
    acceptReadyReports(now, out);
}

void sidecar_state::acceptReadyReports(time_point now, action_list &out)
{
    if (isRecordMissing())
        return;
    const std::optional<server_report> report = std::exchange(m_waitingReport, std::nullopt);
    if (report)
        serverReported(*report, now, out);
}

bool sidecar_state::hasDeparted(const server_report &report, time_point now, action_list &out)
{
    if (m_serverReport.leaving && report.instance == m_serverReport.instance
        && report.startedAt == m_serverReport.startedAt)
        return true;
    const auto found = m_departures.find(report.instance);
    if (found == m_departures.end() || now >= found->second.until)
        return false;
    // A notice without a start time is taken to be about the start that reports next. Recorded
    // anew, so that a later process does not take it to be about another start.
    if (!found->second.startedAt)
        recordDeparture(report.instance, report.startedAt, now, out);
    return report.startedAt <= *found->second.startedAt;
}

bool sidecar_state::isCurrent(const server_report &report) const
{
    return isNewer(report, m_serverReport);
}

bool sidecar_state::serverReported(const server_report &report, time_point now, action_list &out)
{
    const bool isLocalServer =
            report.service == m_options.service && report.address == m_options.serverAddress;
    if (!isLocalServer || !isCurrent(report))
        return false;
    // A server that is leaving may go on reporting, also that it is ready; this does not revoke its
    // notice.
    if (hasDeparted(report, now, out))
        return true;
    if (report.leaving) {
        recordDeparture(report.instance, report.startedAt, now, out);
    } else if (isRecordMissing()) {
        if (!m_waitingReport || isNewer(report, *m_waitingReport))
            m_waitingReport = report;
        checkWaitingServer(now, out);
        return true;
    }
    const bool isNewStart = report.instance != m_serverReport.instance
                            || report.startedAt != m_serverReport.startedAt;
    if (isNewStart)
        m_condition = {};
    // An earlier process of this node has taken the first reports of this start, and may have seen
    // responses that name a limit.
    if (m_serverReport.instance.empty() && report.sequence > 1)
        m_executor.beginCautiously();
    const bool restarted = m_serverUp && isNewStart;
    if (!m_serverUp || restarted || report.leaving != m_serverReport.leaving) {
        m_observer.knownStateChanged("backend server",
                                     report.instance + (report.leaving ? " leaving" : " serving")
                                             + ", report " + std::to_string(report.sequence),
                                     "heartbeat");
    }
    m_serverReport = report;
    m_serverUp = true;
    m_runHeaders.setInstance(report.instance);
    if (restarted)
        m_executor.backendCrashed(now, out);
    if (report.leaving || m_leaving) {
        m_executor.stopAccepting(error_kind::leaving, now, out);
    } else {
        const std::string incarnation = report.instance + '/' + std::to_string(report.startedAt);
        m_executor.backendReady({report.service, incarnation, report.slots, false}, now);
    }
    announceSelf(now, out);
    return true;
}

void sidecar_state::serverLeaving(std::string_view instance, std::optional<std::int64_t> startedAt,
                                  time_point now, action_list &out)
{
    recordDeparture(instance, startedAt, now, out);
    applyDeparture({std::string(instance), startedAt}, "leave notice", now, out);
}

void sidecar_state::backendResponse(run_id run, backend_result result, time_point now,
                                    action_list &out)
{
    // A late response of an earlier start says nothing about the current one.
    const bool isCurrent = result.condition && m_executor.isOnCurrentInstance(run);
    const bool leaves = isCurrent && result.condition->leaving && !m_serverReport.leaving;
    if (isCurrent) {
        m_executor.conditionReported(*result.condition, now);
        logCondition(run, *result.condition);
    }
    m_executor.backendResponse(run, std::move(result), now, out);
    if (leaves)
        serverLeaving(m_serverReport.instance, m_serverReport.startedAt, now, out);
}

void sidecar_state::logCondition(run_id run, const server_condition &condition)
{
    const server_condition before = std::exchange(m_condition, condition);
    const std::string source = "response to run " + std::to_string(run);
    if (condition.rate != before.rate || condition.maxRate != before.maxRate) {
        constexpr std::array<std::string_view, 3> texts{
                "takes any rate", "takes requests/s: ", "names a malformed rate"};
        std::string text(texts.at(static_cast<std::size_t>(condition.rate)));
        if (condition.rate == server_condition::rate_statement::limited)
            text += std::to_string(condition.maxRate);
        m_observer.knownStateChanged("backend server", m_serverReport.instance + ' ' + text,
                                     source);
    }
    if (condition.leaving && !before.leaving)
        m_observer.knownStateChanged("backend server", m_serverReport.instance + " leaving",
                                     source);
}

void sidecar_state::noteLeavingServer(std::string_view node, const dispatch_response &response,
                                      time_point now)
{
    if (headerValue(response.response.headers, m_options.headers.serverLeaving).empty())
        return;
    const std::optional<server_start> server = m_dispatcher.serverOf(response.id);
    if (server && m_routingUpdater.setServerLeaving(node, *server, now))
        m_observer.knownStateChanged(node, "server " + server->instance + " leaving", "response");
}

void sidecar_state::backendCrashed(time_point now, action_list &out)
{
    if (!m_serverUp)
        return;
    m_serverUp = false;
    m_observer.knownStateChanged("backend server", m_serverReport.instance + " down",
                                 "refused connection");
    m_counters.add(node_counter::crashes);
    m_executor.backendCrashed(now, out);
    announceSelf(now, out);
}

void sidecar_state::announceSelf(time_point now, action_list &out)
{
    member_state state = member_state::starting;
    if (m_leaving || m_serverReport.leaving)
        state = member_state::leaving;
    else if (m_serverUp)
        state = member_state::serving;
    std::optional<server_start> server;
    if (!m_serverReport.instance.empty())
        server = {m_serverReport.instance, m_serverReport.startedAt};
    m_membership.setSelf(m_options.service, m_serverReport.slots, state, {}, out, server);
    m_routingUpdater.updateExecutor(m_options.self.name, now);
}

void sidecar_state::tick(time_point now, action_list &out)
{
    m_nextTick = now + tickInterval;
    const heartbeat_state state{version(), duration::zero(), m_executor.load(now)};
    applyChanges(m_membership.tick(state, now, out), now, out);
    m_routingUpdater.updateReachability(now, out);
    m_quota.tick(now, out);
    m_requestHandler.tick(now, out);
    m_executor.tick(now, out);
    m_dispatcher.tick(now, out);
}

void sidecar_state::beginShutdown(time_point now, time_point exitAt, action_list &out)
{
    if (m_leaving)
        return;
    m_leaving = true;
    // At least half of the time is left for the requests that were admitted last.
    m_admissionEnd = now + std::min(callerSwitchGrace, (exitAt - now) / 2);
    m_requestHandler.beginShutdown(m_admissionEnd, exitAt);
    m_executor.stopAccepting(error_kind::leaving, now, out);
    announceSelf(now, out);
}

bool sidecar_state::drained(time_point now) const
{
    return m_leaving && now >= m_admissionEnd && m_requestHandler.idle() && m_executor.idle()
           && m_dispatcher.idle();
}

node_status sidecar_state::status(time_point now)
{
    node_status status;
    status.self = m_options.self;
    status.configVersion = version();
    status.ready = ready();
    status.leaving = m_leaving;
    status.service = m_options.service;
    status.load = m_executor.load(now);
    status.callsInFlight = m_requestHandler.size();
    status.membersKnown = m_membership.members().records().size();
    status.counters = m_counters.list();
    return status;
}

} // namespace tamarackridge::internal
