#include "tamarackridge/src/routing/router.h"

#include <algorithm>
#include <limits>

namespace tamarackridge {

tl::expected<std::string_view, error_kind> router::choose(std::string_view service,
                                                          std::uint8_t rank,
                                                          std::span<const std::string> excluded,
                                                          time_point now, random_source &random)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return tl::unexpected(error_kind::no_backend_server);
    const routing_request request{rank, excluded, now};
    return chooseExecutor(found->second, request, random).map([this](index chosen) {
        return m_records[chosen].node;
    });
}

tl::expected<router::index, error_kind> router::chooseExecutor(service_group &service,
                                                               const routing_request &request,
                                                               random_source &random)
{
    executor_delay best{0, std::numeric_limits<double>::max()};
    std::optional<index> refusing;
    std::optional<index> lastResort;
    for (zone_group &group : service.zones) {
        const candidates found = collectCandidates(group, request);
        if (found.probe)
            return *found.probe;
        if (found.admittingCount > 0) {
            if (group.zone == 0)
                return chooseFromLocalZone(service, found, request, random);
            const executor_delay pick = pickFasterOfTwo(found.admittingList(), request.now, random);
            best = pick.delay < best.delay ? pick : best;
        }
        if (!refusing && found.refusingCount > 0)
            refusing = pickFasterOfTwo(found.refusingList(), request.now, random).executor;
        if (!lastResort)
            lastResort = found.lastResort;
    }
    if (best.delay < std::numeric_limits<double>::max())
        return best.executor;
    // A small percentage is sent nevertheless, to detect early when the threshold has fallen.
    if (refusing && random.below(100) < m_options.probePercent)
        return *refusing;
    if (refusing)
        return tl::unexpected(error_kind::overloaded);
    // When every executor is ejected, one request at a time is still sent, so that recovery does
    // not have to wait for the end of a long backoff.
    if (lastResort)
        return *lastResort;
    return tl::unexpected(error_kind::no_backend_server);
}

bool router::hasAlternative(std::string_view service, std::string_view node,
                            std::span<const std::string> excluded) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const auto isAlternative = [&](index executor) {
        const executor_record &item = m_records[executor];
        return item.state == executor_state::serving && item.node != node
               && std::find(excluded.begin(), excluded.end(), item.node) == excluded.end();
    };
    return std::any_of(found->second.zones.begin(), found->second.zones.end(),
                       [&isAlternative](const zone_group &group) {
                           return std::any_of(group.members.begin(), group.members.end(),
                                              isAlternative);
                       });
}

bool router::hasFreeCapacity(std::span<const index> list) const
{
    return std::any_of(list.begin(), list.end(), [this](index executor) {
        return m_records[executor].health.hasFreeCapacity();
    });
}

std::optional<router::index> router::fastestWithFreeCapacity(service_group &service,
                                                             const routing_request &request)
{
    executor_delay best{0, std::numeric_limits<double>::max()};
    for (zone_group &group : service.zones) {
        const candidates found = collectCandidates(group, request);
        for (index executor : found.admittingList()) {
            const double delay = expectedDelayOf(executor, request.now);
            if (m_records[executor].health.hasFreeCapacity() && delay < best.delay)
                best = {executor, delay};
        }
    }
    if (best.delay == std::numeric_limits<double>::max())
        return std::nullopt;
    return best.executor;
}

router::index router::chooseFromLocalZone(service_group &service, const candidates &local,
                                          const routing_request &request, random_source &random)
{
    const executor_delay localPick = pickFasterOfTwo(local.admittingList(), request.now, random);
    if (service.zones.size() < 2)
        return localPick.executor;
    if (m_options.spilloverWhenFull && !hasFreeCapacity(local.admittingList()))
        return fastestWithFreeCapacity(service, request).value_or(localPick.executor);
    // Comparing with one random other zone bounds the cost of a decision; over time, all zones are
    // compared.
    zone_group &remoteGroup = service.zones[1 + random.below(service.zones.size() - 1)];
    const candidates remote = collectCandidates(remoteGroup, request);
    if (remote.admittingCount == 0)
        return localPick.executor;
    const executor_delay remotePick = pickFasterOfTwo(remote.admittingList(), request.now, random);
    const double limit = m_options.spilloverDelayRatio * remotePick.delay;
    // The request stays local if any local executor is fast enough, even if the random pick is
    // slow.
    if (localPick.delay <= limit || fastestOf(local.admittingList(), request.now).delay <= limit)
        return localPick.executor;
    return remotePick.executor;
}

router::candidates router::collectCandidates(zone_group &group, const routing_request &request)
{
    refreshSubset(group);
    candidates found;
    for (index member : group.subset) {
        executor_record &item = m_records[member];
        if (std::find(request.excluded.begin(), request.excluded.end(), item.node)
            != request.excluded.end()) {
            continue;
        }
        if (item.health.updateEjected(request.now, m_options.ejection)) {
            if (item.health.probeDue(request.now))
                found.probe = member;
            else if (item.health.idle())
                found.lastResort = member;
        } else if (item.health.admits(request.rank)) {
            found.admitting.at(found.admittingCount++) = member;
        } else {
            found.refusing.at(found.refusingCount++) = member;
        }
    }
    return found;
}

double router::expectedDelayOf(index executor, time_point now) const
{
    const executor_record &item = m_records[executor];
    return item.health.expectedDelay(item.linkDelay, item.service->averageLatency, now);
}

router::executor_delay router::fastestOf(std::span<const index> list, time_point now) const
{
    executor_delay best{list.front(), expectedDelayOf(list.front(), now)};
    for (index executor : list.subspan(1)) {
        const double delay = expectedDelayOf(executor, now);
        if (delay < best.delay)
            best = {executor, delay};
    }
    return best;
}

router::executor_delay router::pickFasterOfTwo(std::span<const index> list, time_point now,
                                               random_source &random) const
{
    const std::size_t first = random.below(list.size());
    if (list.size() == 1)
        return {list[first], expectedDelayOf(list[first], now)};
    const std::size_t second = (first + 1 + random.below(list.size() - 1)) % list.size();
    return fastestOf(std::array{list[first], list[second]}, now);
}

} // namespace tamarackridge
