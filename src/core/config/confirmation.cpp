#include "tamarackridge/src/config/confirmation.h"

#include <algorithm>

namespace tamarackridge {

confirmation::confirmation(std::string localZone)
    : m_localZone(std::move(localZone))
{ }

void confirmation::configure(const config_set &set, time_point now)
{
    updateAge(now);
    m_limit = set.settings().maxUnconfirmed;
    std::vector<zone_state> zones;
    for (const zone &object : set.objects().zones) {
        if (object.name == m_localZone)
            continue;
        const auto known =
                std::find_if(m_zones.begin(), m_zones.end(), [&object](const zone_state &state) {
                    return state.name == object.name;
                });
        // A zone that is new in the configuration counts as contacted now, so the first contact may
        // take the full timeout.
        zones.push_back(known != m_zones.end() ? *known : zone_state{object.name, now});
    }
    m_zones = std::move(zones);
}

void confirmation::logEndRead(time_point now)
{
    updateAge(now);
    m_age = duration{};
}

void confirmation::recordPeerConfirmationAge(duration age, time_point now)
{
    updateAge(now);
    // The form of the comparison also avoids an overflow of the addition below.
    if (age < m_age - std::min(m_age, transitMargin))
        m_age = std::max(age, duration{}) + transitMargin;
}

void confirmation::recordZoneContact(std::string_view zone, duration contactAge, time_point now)
{
    updateAge(now);
    const auto found = std::find_if(m_zones.begin(), m_zones.end(),
                                    [zone](const zone_state &state) { return state.name == zone; });
    if (found == m_zones.end() || contactAge >= contactTimeout)
        return;
    const duration delay = contactAge <= duration{} ? duration{} : contactAge + transitMargin;
    found->lastContact = std::max(found->lastContact, now - delay);
}

duration confirmation::ageGrowth(time_point now) const
{
    if (m_zones.empty())
        return duration{};
    const auto oldest = std::min_element(m_zones.begin(), m_zones.end(),
                                         [](const zone_state &left, const zone_state &right) {
                                             return left.lastContact < right.lastContact;
                                         });
    const time_point outOfContactSince =
            std::max(oldest->lastContact + contactTimeout, m_updatedAt);
    return std::max(now - outOfContactSince, duration{});
}

void confirmation::updateAge(time_point now)
{
    m_age = age(now);
    m_updatedAt = std::max(m_updatedAt, now);
}

duration confirmation::age(time_point now) const
{
    return m_age == duration::max() ? m_age : m_age + ageGrowth(now);
}

bool confirmation::expired(time_point now) const
{
    return age(now) > m_limit;
}

std::vector<std::string> confirmation::zonesOutOfContact(time_point now) const
{
    std::vector<std::string> names;
    for (const zone_state &state : m_zones) {
        if (now - state.lastContact >= contactTimeout)
            names.push_back(state.name);
    }
    return names;
}

std::vector<zone_last_contact> confirmation::zoneContacts(time_point now) const
{
    std::vector<zone_last_contact> contacts;
    for (const zone_state &state : m_zones)
        contacts.push_back({state.name, now - state.lastContact});
    return contacts;
}

} // namespace tamarackridge
