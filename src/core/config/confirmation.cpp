#include "tamarackridge/src/config/confirmation.h"

#include <algorithm>

namespace tamarackridge {

confirmation::confirmation(std::string ownZone)
    : m_ownZone(std::move(ownZone))
{ }

void confirmation::configure(const config_set &set, time_point now)
{
    advance(now);
    m_limit = set.settings().maxUnconfirmed;
    std::vector<zone_state> zones;
    for (const zone &object : set.objects().zones) {
        if (object.name == m_ownZone)
            continue;
        const auto known =
                std::find_if(m_zones.begin(), m_zones.end(), [&object](const zone_state &state) {
                    return state.name == object.name;
                });
        // A zone that is new in the configuration has the full limit to be heard for the first
        // time.
        zones.push_back(known != m_zones.end() ? *known : zone_state{object.name, now});
    }
    m_zones = std::move(zones);
}

void confirmation::logEndRead(time_point now)
{
    advance(now);
    m_age = duration{};
}

void confirmation::recordPeerConfirmationAge(duration age, time_point now)
{
    advance(now);
    // Also keeps the addition below from overflowing.
    if (age < m_age - std::min(m_age, transitAllowance))
        m_age = std::max(age, duration{}) + transitAllowance;
}

void confirmation::recordZoneContact(std::string_view zone, duration silence, time_point now)
{
    advance(now);
    const auto found = std::find_if(m_zones.begin(), m_zones.end(),
                                    [zone](const zone_state &state) { return state.name == zone; });
    if (found == m_zones.end() || silence >= silenceLimit)
        return;
    const duration delay = silence <= duration{} ? duration{} : silence + transitAllowance;
    found->heardAt = std::max(found->heardAt, now - delay);
}

duration confirmation::growth(time_point now) const
{
    if (m_zones.empty())
        return duration{};
    const auto longest = std::min_element(m_zones.begin(), m_zones.end(),
                                          [](const zone_state &left, const zone_state &right) {
                                              return left.heardAt < right.heardAt;
                                          });
    const time_point silentSince = std::max(longest->heardAt + silenceLimit, m_asOf);
    return std::max(now - silentSince, duration{});
}

void confirmation::advance(time_point now)
{
    m_age = age(now);
    m_asOf = std::max(m_asOf, now);
}

duration confirmation::age(time_point now) const
{
    return m_age == duration::max() ? m_age : m_age + growth(now);
}

bool confirmation::expired(time_point now) const
{
    return age(now) > m_limit;
}

std::vector<std::string> confirmation::silentZones(time_point now) const
{
    std::vector<std::string> names;
    for (const zone_state &state : m_zones) {
        if (now - state.heardAt >= silenceLimit)
            names.push_back(state.name);
    }
    return names;
}

std::vector<zone_silence> confirmation::zonesHeard(time_point now) const
{
    std::vector<zone_silence> recordZoneContact;
    for (const zone_state &state : m_zones)
        recordZoneContact.push_back({state.name, now - state.heardAt});
    return recordZoneContact;
}

} // namespace tamarackridge
