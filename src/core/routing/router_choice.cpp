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
    const request wanted{rank, excluded, now};
    return chooseFrom(found->second, wanted, random).map([this](index chosen) {
        return m_records[chosen].node;
    });
}

tl::expected<router::index, error_kind>
router::chooseFrom(service_group &service, const request &wanted, random_source &random)
{
    option best{0, std::numeric_limits<double>::max()};
    std::optional<index> refusing;
    std::optional<index> lastResort;
    for (zone_group &group : service.zones) {
        const candidates found = gather(group, wanted);
        if (found.probe)
            return *found.probe;
        if (found.admittingCount > 0) {
            if (group.zone == 0)
                return preferNear(service, found, wanted, random);
            const option pick = pickOfTwo(found.admittingList(), wanted.now, random);
            best = pick.delay < best.delay ? pick : best;
        }
        if (!refusing && found.refusingCount > 0)
            refusing = pickOfTwo(found.refusingList(), wanted.now, random).executor;
        if (!lastResort)
            lastResort = found.lastResort;
    }
    if (best.delay < std::numeric_limits<double>::max())
        return best.executor;
    // The probes find out in time when the advertised threshold falls.
    if (refusing && random.below(100) < m_options.probePercent)
        return *refusing;
    if (refusing)
        return tl::unexpected(error_kind::overloaded);
    // With every executor ejected, one request at a time keeps the recovery from waiting for the
    // end of a long backoff.
    if (lastResort)
        return *lastResort;
    return tl::unexpected(error_kind::no_backend_server);
}

bool router::hasFreePlace(std::span<const index> list) const
{
    return std::any_of(list.begin(), list.end(), [this](index executor) {
        return m_records[executor].health.hasFreePlace();
    });
}

std::optional<router::index> router::withFreePlace(service_group &service, const request &wanted)
{
    option best{0, std::numeric_limits<double>::max()};
    for (zone_group &group : service.zones) {
        const candidates found = gather(group, wanted);
        for (index executor : found.admittingList()) {
            const double delay = delayOf(executor, wanted.now);
            if (m_records[executor].health.hasFreePlace() && delay < best.delay)
                best = {executor, delay};
        }
    }
    if (best.delay == std::numeric_limits<double>::max())
        return std::nullopt;
    return best.executor;
}

router::index router::preferNear(service_group &service, const candidates &near,
                                 const request &wanted, random_source &random)
{
    const option own = pickOfTwo(near.admittingList(), wanted.now, random);
    if (service.zones.size() < 2)
        return own.executor;
    if (m_options.spilloverWhenFull && !hasFreePlace(near.admittingList()))
        return withFreePlace(service, wanted).value_or(own.executor);
    // One other zone per decision bounds its cost; all zones have their turn.
    zone_group &otherGroup = service.zones[1 + random.below(service.zones.size() - 1)];
    const candidates far = gather(otherGroup, wanted);
    if (far.admittingCount == 0)
        return own.executor;
    const option other = pickOfTwo(far.admittingList(), wanted.now, random);
    const double limit = m_options.spilloverDelayRatio * other.delay;
    // A slow pick is no reason to leave the zone while another executor of it is quick.
    if (own.delay <= limit || bestOf(near.admittingList(), wanted.now).delay <= limit)
        return own.executor;
    return other.executor;
}

router::candidates router::gather(zone_group &group, const request &wanted)
{
    refreshSubset(group);
    candidates found;
    for (index member : group.subset) {
        record &item = m_records[member];
        if (std::find(wanted.excluded.begin(), wanted.excluded.end(), item.node)
            != wanted.excluded.end()) {
            continue;
        }
        if (item.health.updateEjected(wanted.now, m_options.ejection)) {
            if (item.health.probeDue(wanted.now))
                found.probe = member;
            else if (item.health.idle())
                found.lastResort = member;
        } else if (item.health.admits(wanted.rank)) {
            found.admitting.at(found.admittingCount++) = member;
        } else {
            found.refusing.at(found.refusingCount++) = member;
        }
    }
    return found;
}

double router::delayOf(index executor, time_point now) const
{
    const record &item = m_records[executor];
    return item.health.expectedDelay(item.linkDelay, item.service->usualLatency, now);
}

router::option router::bestOf(std::span<const index> list, time_point now) const
{
    option best{list.front(), delayOf(list.front(), now)};
    for (index executor : list.subspan(1)) {
        const double delay = delayOf(executor, now);
        if (delay < best.delay)
            best = {executor, delay};
    }
    return best;
}

router::option router::pickOfTwo(std::span<const index> list, time_point now,
                                 random_source &random) const
{
    const std::size_t first = random.below(list.size());
    if (list.size() == 1)
        return {list[first], delayOf(list[first], now)};
    const std::size_t second = (first + 1 + random.below(list.size() - 1)) % list.size();
    return bestOf(std::array{list[first], list[second]}, now);
}

} // namespace tamarackridge
