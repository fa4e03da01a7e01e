#include "tamarackridge/src/routing/router.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace tamarackridge {

namespace {
constexpr double averageLatencyWeight = 0.02;
} // namespace

router::router(router_options options)
    : m_options(std::move(options))
    , m_affinitySeed(XXH3_64bits(m_options.node.data(), m_options.node.size()))
    , m_zones{m_options.zone} // The local zone has position 0.
{
    m_options.subsetSize = std::min<std::uint32_t>(m_options.subsetSize, maxSubsetSize);
}

void router::upsertExecutor(const executor_info &info)
{
    const auto [entry, added] = m_byNode.try_emplace(info.node, 0);
    if (added) {
        if (m_freeIndices.empty()) {
            m_freeIndices.push_back(static_cast<index>(m_records.size()));
            m_records.emplace_back();
        }
        entry->second = m_freeIndices.back();
        m_freeIndices.pop_back();
        executor_record &item = m_records[entry->second];
        item = {};
        item.node = entry->first;
        item.affinity = XXH3_64bits_withSeed(info.node.data(), info.node.size(), m_affinitySeed);
    } else {
        detach(entry->second);
    }
    executor_record &item = m_records[entry->second];
    item.zone = zoneIndex(info.zone);
    item.state = info.state;
    item.linkDelay = info.linkDelay;
    attach(entry->second, info.service);
}

void router::removeExecutor(std::string_view node)
{
    const auto entry = m_byNode.find(node);
    if (entry == m_byNode.end())
        return;
    detach(entry->second);
    m_freeIndices.push_back(entry->second);
    m_byNode.erase(entry);
}

void router::onDispatched(std::string_view node, time_point now)
{
    if (executor_record *item = find(node))
        item->health.onDispatched(now);
}

void router::onResponse(std::string_view node, duration latency, run_outcome outcome,
                        const executor_load *load, time_point now)
{
    executor_record *item = find(node);
    if (item == nullptr)
        return;
    item->health.onResponse(latency, outcome, now, m_options.ejection);
    if (load != nullptr)
        item->health.setLoad(*load);
    if (outcome == run_outcome::success) {
        const double sample = static_cast<double>(latency.count());
        item->service->averageLatency +=
                averageLatencyWeight * (sample - item->service->averageLatency);
    }
}

void router::onHeartbeat(std::string_view node, const executor_load &load)
{
    if (executor_record *item = find(node))
        item->health.setLoad(load);
}

bool router::isEjected(std::string_view node, time_point now)
{
    executor_record *item = find(node);
    return item != nullptr && item->health.updateEjected(now, m_options.ejection);
}

router::executor_record *router::find(std::string_view node)
{
    const auto entry = m_byNode.find(node);
    return entry == m_byNode.end() ? nullptr : &m_records[entry->second];
}

std::uint16_t router::zoneIndex(std::string_view zone)
{
    const auto known = std::find(m_zones.begin(), m_zones.end(), zone);
    const std::uint16_t position = static_cast<std::uint16_t>(known - m_zones.begin());
    if (known == m_zones.end())
        m_zones.emplace_back(zone);
    return position;
}

void router::attach(index position, std::string_view service)
{
    executor_record &item = m_records[position];
    item.service = &m_services.try_emplace(std::string(service)).first->second;
    std::vector<zone_group> &zones = item.service->zones;
    auto group = std::find_if(zones.begin(), zones.end(),
                              [&](const zone_group &known) { return known.zone == item.zone; });
    if (group == zones.end())
        group = zones.insert(item.zone == 0 ? zones.begin() : zones.end(), {item.zone, {}, {}});
    group->members.push_back(position);
    group->subsetValid = false;
}

void router::detach(index position)
{
    const executor_record &item = m_records[position];
    std::vector<zone_group> &zones = item.service->zones;
    for (zone_group &group : zones) {
        if (std::erase(group.members, position) > 0)
            group.subsetValid = false;
    }
    std::erase_if(zones, [](const zone_group &group) { return group.members.empty(); });
}

void router::refreshSubset(zone_group &group) const
{
    if (group.subsetValid)
        return;
    group.subset.clear();
    std::copy_if(
            group.members.begin(), group.members.end(), std::back_inserter(group.subset),
            [this](index member) { return m_records[member].state == executor_state::serving; });
    const std::size_t kept = std::min<std::size_t>(group.subset.size(), m_options.subsetSize);
    const auto end = group.subset.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(group.subset.begin(), end, group.subset.end(), [this](index a, index b) {
        return m_records[a].affinity > m_records[b].affinity;
    });
    group.subset.erase(end, group.subset.end());
    group.subsetValid = true;
}

} // namespace tamarackridge
