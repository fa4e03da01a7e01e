#include "scenario/virtual_fleet.h"

#include "tamarackridge/config"

namespace tamarackridge::scenario {
namespace {

constexpr duration announceInterval = std::chrono::seconds(1);

} // namespace

virtual_fleet::virtual_fleet(fleet_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_log(options.logRetention)
{ }

virtual_fleet::~virtual_fleet() = default;

std::vector<std::string> virtual_fleet::names() const
{
    std::vector<std::string> result;
    for (const auto &[name, member] : m_members)
        result.push_back(name);
    return result;
}

void virtual_fleet::start(const fleet_member &member)
{
    std::unique_ptr<live_member> created = std::make_unique<live_member>();
    created->settings = member;
    created->self = {member.zone, member.name, m_random.next()};
    created->random = std::make_unique<seeded_random>(m_random.next());
    node_options options;
    options.self = created->self;
    options.peerEndpoint = "tcp://" + member.name;
    options.quotaClaimDelay = m_options.quotaClaimDelay;
    // Up to three members started earlier, the first ones by name, are the seeds.
    for (const auto &[name, settings] : m_memberSettings) {
        if (options.seeds.size() < 3)
            options.seeds.push_back({name, "tcp://" + name});
    }
    created->core = std::make_unique<node_core>(options, *created->random);
    created->backend = std::make_unique<virtual_backend>(member.backend, member.name, m_events,
                                                         m_random, m_executions);
    m_memberSettings[member.name] = member;
    const std::string name = member.name;
    const incarnation_id incarnation = created->self.incarnation;
    created->backend->connect(
            [this, name, incarnation](run_id run, const backend_result &result) {
                deliver(name, incarnation, [this, run, result](live_member &self) {
                    action_list out;
                    self.core->backendResponse(run, result, m_events.now(), out);
                    perform(self, std::move(out));
                });
            },
            [this, name](const http_request &request,
                         std::function<void(const http_response &)> done) {
                callWithDelay(name, request, std::move(done), duration::zero());
            },
            [this, name, incarnation] {
                deliver(name, incarnation, [this](live_member &self) {
                    action_list out;
                    self.core->backendCrashed(m_events.now(), out);
                    perform(self, std::move(out));
                });
            });
    m_members[name] = std::move(created);
    deliver(name, incarnation, [this](live_member &self) {
        action_list out;
        self.core->start(m_events.now(), out);
        perform(self, std::move(out));
    });
    scheduleTick(name, incarnation);
    announceBackend(name, incarnation);
}

void virtual_fleet::deliver(const std::string &node, incarnation_id incarnation,
                            std::function<void(live_member &)> event)
{
    const auto found = m_members.find(node);
    if (found == m_members.end() || found->second->self.incarnation != incarnation)
        return;
    if (m_paused.contains(node))
        found->second->deferredEvents.push_back(std::move(event));
    else
        event(*found->second);
}

void virtual_fleet::resume(const std::string &node)
{
    m_paused.erase(node);
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return;
    const incarnation_id incarnation = found->second->self.incarnation;
    const std::vector<std::function<void(live_member &)>> events =
            std::move(found->second->deferredEvents);
    found->second->deferredEvents.clear();
    for (const std::function<void(live_member &)> &event : events)
        deliver(node, incarnation, event);
}

void virtual_fleet::scheduleTick(const std::string &node, incarnation_id incarnation)
{
    m_events.after(std::chrono::milliseconds(10), [this, node, incarnation] {
        const auto found = m_members.find(node);
        if (found == m_members.end() || found->second->self.incarnation != incarnation)
            return;
        if (!m_paused.contains(node)) {
            action_list out;
            found->second->core->tick(m_events.now(), out);
            perform(*found->second, std::move(out));
            if (found->second->core->drained()) {
                kill(node);
                return;
            }
        }
        scheduleTick(node, incarnation);
    });
}

void virtual_fleet::announceBackend(const std::string &node, incarnation_id incarnation)
{
    deliver(node, incarnation, [this](live_member &self) {
        if (!self.backend->up())
            return;
        action_list out;
        const backend_model &model = self.backend->model();
        self.core->backendAnnounced({model.service, self.backend->instance(), model.slots, false},
                                    m_events.now(), out);
        perform(self, std::move(out));
    });
    m_events.after(announceInterval, [this, node, incarnation] {
        const auto found = m_members.find(node);
        if (found != m_members.end() && found->second->self.incarnation == incarnation)
            announceBackend(node, incarnation);
    });
}

void virtual_fleet::kill(const std::string &node)
{
    // Scheduled events refer to the backend server, so the object is kept until the fleet ends.
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return;
    found->second->backend->crash();
    m_endedBackends.push_back(std::move(found->second->backend));
    m_members.erase(found);
    m_paused.erase(node);
}

void virtual_fleet::stop(const std::string &node)
{
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return;
    action_list out;
    found->second->core->beginShutdown(m_events.now(), out);
    perform(*found->second, std::move(out));
}

void virtual_fleet::replace(const std::string &node)
{
    kill(node);
    start(fleet_member(m_memberSettings.at(node)));
}

void virtual_fleet::crashBackend(const std::string &node)
{
    if (alive(node))
        backend(node).crash();
}

void virtual_fleet::restartBackend(const std::string &node)
{
    if (alive(node) && !backend(node).up())
        backend(node).restart();
}

void virtual_fleet::freezeBackend(const std::string &node)
{
    if (alive(node))
        backend(node).setFrozen(true);
}

bool virtual_fleet::canReach(const std::string &fromZone, const std::string &toZone) const
{
    return fromZone == toZone || (!m_cutZones.contains(fromZone) && !m_cutZones.contains(toZone));
}

void virtual_fleet::call(const std::string &node, http_request request, response_sink sink)
{
    callWithDelay(node, std::move(request), std::move(sink), m_options.callerDelay);
}

void virtual_fleet::callWithDelay(const std::string &node, http_request request, response_sink sink,
                                  duration delay)
{
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return;
    const call_id call = m_nextCall++;
    const incarnation_id incarnation = found->second->self.incarnation;
    found->second->calls.emplace(call, open_call{std::move(sink), delay});
    m_events.after(delay, [this, node, incarnation, call, request = std::move(request)] {
        deliver(node, incarnation, [this, call, request](live_member &self) {
            action_list out;
            self.core->callerRequest(call, request, m_events.now(), out);
            perform(self, std::move(out));
        });
    });
}

void virtual_fleet::publish(std::string_view configText)
{
    const tl::expected<config_set, config_errors> set = parseConfigSet(configText);
    if (!set)
        throw std::invalid_argument(toString(set.error().front()));
    const config_set before =
            m_publishedConfig.empty() ? config_set() : parseConfigSet(m_publishedConfig).value();
    const publication record{"scenario-" + std::to_string(m_publishedVersion), m_publishedVersion,
                             difference(before, *set)};
    m_publishedConfig = std::string(configText);
    m_publishedVersion =
            m_log.append("config", encodePublication(record), m_events.now()).value_or(-1);
}

} // namespace tamarackridge::scenario
