#include "core/node/routing_updater.h"

#include <chrono>

namespace tamarackridge::internal {
namespace {

// A zone without contact for this long gets no dispatches.
constexpr duration zoneContactTimeout = std::chrono::seconds(3);
constexpr duration localZoneLinkDelay = std::chrono::microseconds(100);
constexpr duration remoteZoneLinkDelay = std::chrono::microseconds(1500);

} // namespace

void routing_updater::onExecutorUnavailable(std::string_view node, time_point now, action_list &out)
{
    // With a transport that reports undelivered dispatches, a suspicion alone doesn't mean that the
    // dispatch is lost.
    if (m_dispatcher.attemptTimeout() == attempt_timeout::all_remaining)
        m_dispatcher.executorSuspected(node, now, out);
    else
        m_dispatcher.executorLost(node, now, out);
}

bool routing_updater::isServing(const directory::record &record, time_point now) const
{
    const auto leavingServer = m_leavingServers.find(record.info.node.name);
    if (leavingServer != m_leavingServers.end() && record.info.server == leavingServer->second)
        return false;
    return record.info.state == member_state::serving && record.health == liveness::alive
           && m_membership.timeSinceContact(record.info.node.zone, now) < zoneContactTimeout;
}

bool routing_updater::setServerLeaving(std::string_view node, const server_start &server,
                                       time_point now)
{
    const auto [known, isNew] = m_leavingServers.try_emplace(std::string(node), server);
    if (!isNew && known->second == server)
        return false;
    known->second = server;
    updateExecutor(node, now);
    return true;
}

void routing_updater::updateExecutor(std::string_view name, time_point now)
{
    const directory::record *record = m_membership.members().find(name);
    const bool gone = record == nullptr || record->health == liveness::dead
                      || record->info.state == member_state::left || record->info.service.empty();
    if (gone) {
        m_routes.removeExecutor(name);
        if (record == nullptr)
            m_leavingServers.erase(std::string(name));
        return;
    }
    executor_info info;
    info.node = record->info.node.name;
    info.zone = record->info.node.zone;
    info.service = record->info.service;
    info.state = isServing(*record, now) ? executor_state::serving : executor_state::not_serving;
    if (info.node != m_membership.self().node.name)
        info.linkDelay = info.zone == m_membership.self().node.zone ? localZoneLinkDelay
                                                                    : remoteZoneLinkDelay;
    m_routes.upsertExecutor(info);
}

void routing_updater::updateReachability(time_point now, action_list &out)
{
    for (const std::string &zone : m_membership.otherZones()) {
        const bool reachable = m_membership.timeSinceContact(zone, now) < zoneContactTimeout;
        const auto [known, isNew] = m_zoneReachable.try_emplace(zone, reachable);
        if (!isNew && known->second == reachable)
            continue;
        known->second = reachable;
        for (const auto &[name, record] : m_membership.members().records()) {
            if (record.info.node.zone != zone)
                continue;
            updateExecutor(name, now);
            if (!reachable)
                onExecutorUnavailable(name, now, out);
        }
    }
}

void routing_updater::applyMembers(const overlay_changes &changes, time_point now, action_list &out)
{
    for (const std::string &name : changes.members) {
        updateExecutor(name, now);
        const directory::record *record = m_membership.members().find(name);
        if (record != nullptr && record->health != liveness::alive)
            onExecutorUnavailable(name, now, out);
    }
}

} // namespace tamarackridge::internal
