#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/config/config_set.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief How long ago a zone was heard; sent with heartbeats.
struct zone_silence
{
    std::string zone;
    duration silence{};
};

/// \brief Age of the last proof that no withdrawal of a key was missed.
///
/// The age is the time since somebody this node hears from read the log's end. It grows only while
/// some configured zone is silent: when all zones hear each other and none can read the log, no
/// withdrawal can have been accepted that a zone does not know.
///
/// \code
/// confirmation confirmed("oviedo");
/// confirmed.configure(set, now);
/// confirmed.heard("bilbao", duration{}, now);
/// confirmed.recordPeerConfirmationAge(peerAge, now);
/// if (confirmed.expired(now)) { /* refuse keyed routes */ }
/// \endcode
class confirmation
{
public:
    /// A zone that was not heard for this long counts as silent.
    static constexpr duration silenceLimit = std::chrono::seconds(5);
    /// Added to everything heard from a peer, for the time on the way. Without it, two nodes of a
    /// zone that is cut off would set each other's age back by the delay of every heartbeat.
    static constexpr duration transitAllowance = std::chrono::milliseconds(250);

    explicit confirmation(std::string ownZone);

    /// \brief Takes the zones and the limit of the configuration in force.
    void configure(const config_set &set, time_point now);
    /// \brief This node has read the log's end.
    void logEndRead(time_point now);
    /// \brief A peer reported its confirmation age; duration::max() means never confirmed.
    void recordPeerConfirmationAge(duration age, time_point now);
    /// \brief A zone was heard \a silence ago; zero when the sender itself belongs to it.
    void recordZoneContact(std::string_view zone, duration silence, time_point now);

    /// \returns the age, or duration::max() if it was never confirmed.
    duration age(time_point now) const;
    /// \returns whether requests on keyed routes are to be refused.
    bool expired(time_point now) const;
    /// \returns the zones that count as silent.
    std::vector<std::string> silentZones(time_point now) const;
    /// \returns what to tell peers about other zones.
    std::vector<zone_silence> zonesHeard(time_point now) const;

private:
    struct zone_state
    {
        std::string name;
        time_point heardAt;
    };

    void advance(time_point now);
    duration growth(time_point now) const;

    std::string m_ownZone;
    std::vector<zone_state> m_zones; ///< Configured zones other than the own one.
    duration m_limit = std::chrono::hours(1);
    duration m_age = duration::max(); ///< At m_asOf.
    time_point m_asOf{};
};

} // namespace tamarackridge
