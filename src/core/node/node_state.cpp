#include "core/node/node_state.h"

namespace tamarackridge::internal {
namespace {

constexpr duration tickInterval = std::chrono::milliseconds(10);
constexpr duration expiryInterval = std::chrono::seconds(1);
// Within this time other nodes have learned that this node is leaving and dispatch no more to it,
// and callers have switched to other nodes.
constexpr duration drainGrace = std::chrono::seconds(3);

member selfMember(const node_options &options)
{
    member self;
    self.node = options.self;
    self.endpoint = options.peerEndpoint;
    return self;
}

std::vector<std::pair<std::string, std::string>> seedList(const node_options &options)
{
    std::vector<std::pair<std::string, std::string>> seeds;
    for (const seed_peer &seed : options.seeds)
        seeds.emplace_back(seed.node, seed.endpoint);
    return seeds;
}

router_options routerOptions(const node_options &options)
{
    router_options result;
    result.node = options.self.name;
    result.zone = options.self.zone;
    return result;
}

} // namespace

node_state::node_state(node_options options, random_source &random)
    : m_options(std::move(options))
    , m_random(random)
    , m_membership(selfMember(m_options), seedList(m_options), overlay_options{}, time_point{})
    , m_routes(routerOptions(m_options))
    , m_handles(random)
    , m_runHeaders(m_handles)
    , m_ledger(m_options.self, ledger_options{}, random, time_point{})
    , m_config(m_options, m_membership, m_counters, random,
               [this](const config_set &set, time_point now) { m_quota.configure(set, now); })
    , m_quota(m_options, m_membership, random)
    , m_requestHandler({m_config, m_quota, m_ledger, m_handles, m_membership, m_counters, random})
    , m_executor(
              m_runHeaders, concurrency_limit_options{}, m_counters, random,
              [this](owned_response result, time_point now, action_list &out) {
                  if (result.owner == m_options.self)
                      m_dispatcher.dispatchResponse(result.owner.name, std::move(result.response),
                                                    now, out);
                  else // Without an expiry: the ledger also records a late response.
                      m_membership.sendToProcess(result.owner, std::move(result.response), out);
              },
              [this](const overlay_entry &entry, action_list &out) {
                  m_membership.publish(entry, out);
              })
    , m_dispatcher(
              m_options.self, m_membership, m_routes, m_executor, m_counters, random,
              retry_budget_table(), attempt_timeout::half_remaining,
              [this](dispatcher::request_number requestNumber, request_outcome outcome,
                     time_point now, action_list &out) {
                  m_requestHandler.outcome(requestNumber, std::move(outcome), now, out);
              },
              [this](const ledger_key &key, const http_response &response) {
                  m_ledger.answered(key, response);
              })
    , m_routingUpdater(m_membership, m_routes, m_dispatcher)
    , m_ownerCalls(m_membership, m_counters)
{
    m_requestHandler.connect(m_dispatcher, m_ownerCalls);
}

void node_state::backendAnnounced(const backend_announcement &announcement, time_point now,
                                  action_list &out)
{
    const bool restarted = m_backendUp && announcement.instance != m_backend.instance;
    m_backend = announcement;
    m_backendUp = true;
    if (restarted)
        m_executor.backendCrashed(now, out);
    if (announcement.leaving || m_phase != phase::running)
        m_executor.stopAccepting(error_kind::leaving, now, out);
    else
        m_executor.backendReady(announcement, now);
    announceSelf(out);
    m_routingUpdater.updateExecutor(m_options.self.name, now);
}

void node_state::backendCrashed(time_point now, action_list &out)
{
    if (!m_backendUp)
        return;
    m_backendUp = false;
    m_counters.add(node_counter::crashes);
    m_executor.backendCrashed(now, out);
    announceSelf(out);
    m_routingUpdater.updateExecutor(m_options.self.name, now);
}

void node_state::announceSelf(action_list &out)
{
    member_state state = member_state::starting;
    if (m_phase != phase::running || m_backend.leaving)
        state = member_state::leaving;
    else if (m_backendUp)
        state = member_state::serving;
    m_membership.setSelf(m_backend.service, m_backend.slots, state, {}, out);
}

void node_state::applyChanges(const overlay_changes &changes, time_point now, action_list &out)
{
    for (const std::string &name : changes.members) {
        const directory::record *record = m_membership.members().find(name);
        if (record != nullptr)
            m_ownerCalls.updateSuccessor(record->info, now);
    }
    m_routingUpdater.applyMembers(changes, now, out);
    if (!changes.members.empty())
        m_quota.membersChanged();
    for (const overlay_entry &entry : changes.otherEntries) {
        if (entry.kind == entry_kind::quarantine)
            m_executor.quarantineEntry(entry, now);
    }
}

void node_state::onLogRecords(const std::string &stream, std::span<const log_record> records,
                              std::int64_t first, std::int64_t end, time_point now,
                              action_list &out)
{
    if (stream == "config")
        m_config.onLogRecords(records, first, end, now, out);
    else if (stream == "quota")
        m_quota.onLogRecords(records, first, end, now, out);
}

void node_state::appendDone(append_id append, bool accepted)
{
    if (append != config_service::snapshotAppend)
        m_quota.appendDone(append, accepted);
}

void node_state::tick(time_point now, action_list &out)
{
    m_nextTick = now + tickInterval;
    const heartbeat_state state{m_config.version(), m_config.confirmationAge(now),
                                m_executor.load(now)};
    applyChanges(m_membership.tick(state, now, out), now, out);
    m_routingUpdater.updateReachability(now, out);
    m_config.tick(now, out);
    m_quota.tick(now, out);
    m_requestHandler.tick(now, out);
    m_executor.tick(now, out);
    m_dispatcher.tick(now, out);
    m_ownerCalls.tick(now, out);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        m_ledger.expire(now);
    }
    updateShutdown(now, out);
}

void node_state::beginShutdown(time_point now, action_list &out)
{
    if (m_phase != phase::running)
        return;
    m_phase = phase::draining;
    m_requestHandler.stopIssuingIds();
    m_shutdownStarted = now;
    m_executor.stopAccepting(error_kind::leaving, now, out);
    announceSelf(out);
    m_routingUpdater.updateExecutor(m_options.self.name, now);
}

void node_state::updateShutdown(time_point now, action_list &out)
{
    if (m_phase == phase::running || now - m_shutdownStarted < drainGrace)
        return;
    m_requestHandler.refuseNewRequests();
    const bool idle = m_requestHandler.idle() && m_executor.idle() && m_dispatcher.idle()
                      && m_ownerCalls.idle();
    if (m_phase == phase::draining && idle) {
        handOver(out, now);
        m_quota.release(now, out);
        m_phase = phase::handed_over;
    }
    if (m_phase == phase::handed_over)
        m_drained = idle && !m_quota.releasePending(now);
}

void node_state::handOver(action_list &out, time_point now)
{
    std::vector<ledger_handover> handovers = m_ledger.handOver(now);
    const std::string successor = chooseSuccessor(now);
    for (ledger_handover &handover : handovers) {
        if (!successor.empty() && m_membership.send(successor, std::move(handover), out))
            m_counters.add(node_counter::handovers_sent);
    }
    m_membership.setSelf(m_backend.service, m_backend.slots, member_state::left, successor, out);
}

std::string node_state::chooseSuccessor(time_point now) const
{
    std::vector<std::string> zones = m_membership.otherZones();
    zones.insert(zones.begin(), m_options.self.zone);
    for (const std::string &zone : zones) {
        for (const std::string &candidate : m_membership.members().ring(zone)) {
            if (m_routingUpdater.isServing(*m_membership.members().find(candidate), now))
                return candidate;
        }
    }
    return {};
}

node_status node_state::status(time_point now)
{
    node_status status;
    status.self = m_options.self;
    status.configVersion = m_config.version();
    status.confirmationAge = m_config.confirmationAge(now);
    status.ready = m_config.current() != nullptr && m_phase == phase::running;
    status.leaving = m_phase != phase::running;
    status.service = m_backend.service;
    status.load = m_executor.load(now);
    status.callsInFlight = m_requestHandler.size();
    status.membersKnown = m_membership.members().records().size();
    status.quotaSlotsHeld = m_quota.slotsHeld(now);
    status.counters = m_counters.list();
    for (const auto &[name, record] : m_membership.members().records()) {
        std::string line = record.info.node.zone + '/' + name + ' ';
        line.append(toString(record.info.state)).append(" ").append(record.info.service);
        if (record.health != liveness::alive)
            line.append(record.health == liveness::dead ? " dead" : " suspect");
        status.members.push_back(std::move(line));
    }
    return status;
}

} // namespace tamarackridge::internal
