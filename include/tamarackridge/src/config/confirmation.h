#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/config/config_set.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Time since the last contact with a zone; sent with heartbeats.
struct zone_last_contact
{
    std::string zone;
    duration contactAge{};
};

/// \brief Tracks the age of the last proof that this node has not missed the withdrawal of a key.
///
/// The age is the time since this node, or a node whose heartbeats reach it, read the end of the
/// log. It grows only while there is no contact with some configured zone: if all zones are in
/// contact with each other and none can read the log, every accepted withdrawal is known to all
/// zones.
///
/// \code
/// confirmation confirmed("oviedo");
/// confirmed.configure(set, now);
/// confirmed.recordZoneContact("bilbao", duration{}, now);
/// confirmed.recordPeerConfirmationAge(peerAge, now);
/// if (confirmed.expired(now)) { /* refuse keyed routes */ }
/// \endcode
class confirmation
{
public:
    /// A zone without contact for this long counts as out of contact.
    static constexpr duration contactTimeout = std::chrono::seconds(5);
    /// Added to every age that a peer reports, to account for the network delay. Without it, two
    /// nodes of an isolated zone would reduce each other's age by the delay of every heartbeat.
    static constexpr duration transitMargin = std::chrono::milliseconds(250);

    explicit confirmation(std::string localZone);

    /// \brief Updates the zones and the age limit from the configuration in force.
    void configure(const config_set &set, time_point now);
    /// \brief Must be called when this node has read the end of the log.
    void logEndRead(time_point now);
    /// \brief Takes the confirmation age that a peer reported; duration::max() means never
    /// confirmed.
    void recordPeerConfirmationAge(duration age, time_point now);
    /// \brief Records that the last contact with \a zone was \a contactAge ago; zero if the sender
    /// of the heartbeat belongs to it.
    void recordZoneContact(std::string_view zone, duration contactAge, time_point now);

    /// \returns the age, or duration::max() if the configuration was never confirmed.
    duration age(time_point now) const;
    /// \returns whether the age exceeds the limit, so that requests on keyed routes are to be
    /// refused.
    bool expired(time_point now) const;
    /// \returns the configured zones that are out of contact.
    std::vector<std::string> zonesOutOfContact(time_point now) const;
    /// \returns the time since the last contact with each other zone, to be sent to peers.
    std::vector<zone_last_contact> zoneContacts(time_point now) const;

private:
    struct zone_state
    {
        std::string name;
        time_point lastContact;
    };

    void updateAge(time_point now);
    duration ageGrowth(time_point now) const;

    std::string m_localZone;
    std::vector<zone_state> m_zones; ///< Configured zones other than the local one.
    duration m_limit = std::chrono::hours(1);
    duration m_age = duration::max(); ///< At m_updatedAt.
    time_point m_updatedAt{};
};

} // namespace tamarackridge
