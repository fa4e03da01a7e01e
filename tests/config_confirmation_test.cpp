#include "fakes/sample_config.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

class confirmation_age : public ::testing::Test
{
protected:
    confirmation_age()
    {
        m_confirmed.configure(fakes::sampleSet(), m_now);
        m_confirmed.logEndRead(m_now);
    }
    /// \brief Lets time pass while the other zone is heard every second.
    void passHearing(duration time)
    {
        for (duration passed{}; passed < time; passed += 1s) {
            m_now += 1s;
            m_confirmed.recordZoneContact("bilbao", duration{}, m_now);
        }
    }

    confirmation m_confirmed{"oviedo"};
    time_point m_now{std::chrono::hours(5)};
};

} // namespace

// Guards against an outage of the log alone that refuses customers.
TEST_F(confirmation_age, AgeStandsStillWhileAllZonesAreHeard)
{
    passHearing(20000s);
    EXPECT_EQ(m_confirmed.age(m_now), duration{});
    EXPECT_FALSE(m_confirmed.expired(m_now));
    EXPECT_TRUE(m_confirmed.silentZones(m_now).empty());
}

// Guards against a zone that is cut off and accepts withdrawn keys without limit.
TEST_F(confirmation_age, AgeGrowsWhileAZoneIsSilentAndExpires)
{
    m_confirmed.recordZoneContact("bilbao", duration{}, m_now);
    EXPECT_EQ(m_confirmed.age(m_now + 5s), duration{});
    EXPECT_EQ(m_confirmed.age(m_now + 15s), 10s);
    EXPECT_EQ(m_confirmed.silentZones(m_now + 15s), std::vector<std::string>{"bilbao"});
    EXPECT_FALSE(m_confirmed.expired(m_now + 3605s));
    EXPECT_TRUE(m_confirmed.expired(m_now + 3606s));
}

// Guards against time of silence that is forgotten when the zone is heard again without the log.
TEST_F(confirmation_age, SilenceCountsUntilAConfirmationArrives)
{
    m_now += 105s;
    passHearing(50s);
    EXPECT_EQ(m_confirmed.age(m_now), 101s);
    m_confirmed.recordPeerConfirmationAge(20s, m_now);
    EXPECT_EQ(m_confirmed.age(m_now), 20s + confirmation::transitAllowance);
    m_confirmed.logEndRead(m_now);
    EXPECT_EQ(m_confirmed.age(m_now), duration{});
}

// Guards against two nodes of a zone that is cut off and set each other's age back with every
// delayed heartbeat, so that neither ever expires.
TEST_F(confirmation_age, DelayedHeartbeatsInACutOffZoneDoNotStopTheAge)
{
    confirmation other("oviedo");
    other.configure(fakes::sampleSet(), m_now);
    other.logEndRead(m_now);
    duration fromOther{};
    duration fromThis{};
    for (int beat = 0; beat < 7300; ++beat) { // 500 ms apart, each delivered one interval late.
        m_now += 500ms;
        m_confirmed.recordPeerConfirmationAge(fromOther, m_now);
        other.recordPeerConfirmationAge(fromThis, m_now);
        fromOther = other.age(m_now) + 300ms; // 200 ms on the way.
        fromThis = m_confirmed.age(m_now) + 300ms;
    }
    EXPECT_TRUE(m_confirmed.expired(m_now));
    EXPECT_TRUE(other.expired(m_now));
}

// Guards against a fresh node that trusts its keys before anybody confirmed them.
TEST(ConfirmationStart, NeverConfirmedMeansExpired)
{
    confirmation confirmed("oviedo");
    EXPECT_TRUE(confirmed.expired(time_point{}));
    confirmed.configure(fakes::sampleSet(), time_point{});
    confirmed.recordPeerConfirmationAge(duration::max(), time_point{});
    EXPECT_TRUE(confirmed.expired(time_point{}));
    confirmed.recordPeerConfirmationAge(3s, time_point{});
    EXPECT_FALSE(confirmed.expired(time_point{}));
}

// Guards against hearsay about a zone that counts as new each time it is passed on.
TEST_F(confirmation_age, RelayedSilenceKeepsItsAge)
{
    m_now += 20s;
    m_confirmed.recordZoneContact("bilbao", 4s, m_now);
    EXPECT_TRUE(m_confirmed.silentZones(m_now).empty());
    EXPECT_EQ(m_confirmed.zonesHeard(m_now).front().silence, 4s + confirmation::transitAllowance);
    EXPECT_FALSE(m_confirmed.silentZones(m_now + 1s).empty());
    m_confirmed.recordZoneContact("bilbao", 5s, m_now + 1s);
    EXPECT_FALSE(m_confirmed.silentZones(m_now + 1s).empty());
}
