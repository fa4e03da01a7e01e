#include "core/node/routing_updater.h"

#include <chrono>

namespace tamarackridge::internal {
namespace {

// A zone from which nothing was heard for this long gets no dispatches.
constexpr duration zoneSilenceLimit = std::chrono::seconds(3);
constexpr duration ownZoneDelay = std::chrono::microseconds(100);
constexpr duration otherZoneDelay = std::chrono::microseconds(1500);

} // namespace

void routing_updater::lose(std::string_view node, time_point now, action_list &out)
{
    // A transport that tells whether a dispatch arrived leaves nothing to guess from suspicions.
    if (m_dispatcher.patience() == attempt_timeout::all_remaining)
        m_dispatcher.executorSuspected(node, now, out);
    else
        m_dispatcher.executorLost(node, now, out);
}

bool routing_updater::serves(const directory::record &record, time_point now) const
{
    return record.info.state == member_state::serving && record.health == liveness::alive
           && m_membership.timeSinceContact(record.info.node.zone, now) < zoneSilenceLimit;
}

void routing_updater::updateExecutor(std::string_view name, time_point now)
{
    const directory::record *record = m_membership.members().find(name);
    const bool gone = record == nullptr || record->health == liveness::dead
                      || record->info.state == member_state::left || record->info.service.empty();
    if (gone) {
        m_routes.removeExecutor(name);
        return;
    }
    executor_info info;
    info.node = record->info.node.name;
    info.zone = record->info.node.zone;
    info.service = record->info.service;
    info.state = serves(*record, now) ? executor_state::serving : executor_state::not_serving;
    if (info.node != m_membership.self().node.name)
        info.linkDelay = info.zone == m_membership.self().node.zone ? ownZoneDelay : otherZoneDelay;
    m_routes.upsertExecutor(info);
}

void routing_updater::updateReachability(time_point now, action_list &out)
{
    for (const std::string &zone : m_membership.otherZones()) {
        const bool reachable = m_membership.timeSinceContact(zone, now) < zoneSilenceLimit;
        const auto [known, isNew] = m_zoneReachable.try_emplace(zone, reachable);
        if (!isNew && known->second == reachable)
            continue;
        known->second = reachable;
        for (const auto &[name, record] : m_membership.members().records()) {
            if (record.info.node.zone != zone)
                continue;
            updateExecutor(name, now);
            if (!reachable)
                lose(name, now, out);
        }
    }
}

void routing_updater::applyMembers(const overlay_changes &changes, time_point now, action_list &out)
{
    for (const std::string &name : changes.members) {
        updateExecutor(name, now);
        const directory::record *record = m_membership.members().find(name);
        if (record != nullptr && record->health != liveness::alive)
            lose(name, now, out);
    }
}

} // namespace tamarackridge::internal
