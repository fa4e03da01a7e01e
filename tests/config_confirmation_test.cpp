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
    /// \brief Advances the time while the other zone is in contact every second.
    void advanceInContact(duration time)
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

// Guards against refusing requests while only the log is unavailable.
TEST_F(confirmation_age, AgeDoesNotGrowWhileAllZonesAreInContact)
{
    advanceInContact(20000s);
    EXPECT_EQ(m_confirmed.age(m_now), duration{});
    EXPECT_FALSE(m_confirmed.expired(m_now));
    EXPECT_TRUE(m_confirmed.zonesOutOfContact(m_now).empty());
}

// Guards against an isolated zone that accepts withdrawn keys without a time limit.
TEST_F(confirmation_age, AgeGrowsWithoutContactWithAZoneAndExpires)
{
    m_confirmed.recordZoneContact("bilbao", duration{}, m_now);
    EXPECT_EQ(m_confirmed.age(m_now + 5s), duration{});
    EXPECT_EQ(m_confirmed.age(m_now + 15s), 10s);
    EXPECT_EQ(m_confirmed.zonesOutOfContact(m_now + 15s), std::vector<std::string>{"bilbao"});
    EXPECT_FALSE(m_confirmed.expired(m_now + 3605s));
    EXPECT_TRUE(m_confirmed.expired(m_now + 3606s));
}

// Guards against resetting the age when contact with the zone returns but nobody has read the log.
TEST_F(confirmation_age, LostContactCountsUntilAConfirmationArrives)
{
    m_now += 105s;
    advanceInContact(50s);
    EXPECT_EQ(m_confirmed.age(m_now), 101s);
    m_confirmed.recordPeerConfirmationAge(20s, m_now);
    EXPECT_EQ(m_confirmed.age(m_now), 20s + confirmation::transitMargin);
    m_confirmed.logEndRead(m_now);
    EXPECT_EQ(m_confirmed.age(m_now), duration{});
}

// Guards against two nodes of an isolated zone that reduce each other's age with every delayed
// heartbeat, so that neither ever expires.
TEST_F(confirmation_age, DelayedHeartbeatsInAnIsolatedZoneDoNotStopTheAge)
{
    confirmation other("oviedo");
    other.configure(fakes::sampleSet(), m_now);
    other.logEndRead(m_now);
    duration fromOther{};
    duration fromThis{};
    for (int beat = 0; beat < 7300; ++beat) { // 500 ms apart, each delivered in the next interval.
        m_now += 500ms;
        m_confirmed.recordPeerConfirmationAge(fromOther, m_now);
        other.recordPeerConfirmationAge(fromThis, m_now);
        fromOther = other.age(m_now) + 300ms; // 200 ms network delay.
        fromThis = m_confirmed.age(m_now) + 300ms;
    }
    EXPECT_TRUE(m_confirmed.expired(m_now));
    EXPECT_TRUE(other.expired(m_now));
}

// Guards against a newly started node that accepts keys before any confirmation.
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

// Guards against a relayed contact that counts as recent each time it is passed on.
TEST_F(confirmation_age, RelayedContactKeepsItsAge)
{
    m_now += 20s;
    m_confirmed.recordZoneContact("bilbao", 4s, m_now);
    EXPECT_TRUE(m_confirmed.zonesOutOfContact(m_now).empty());
    EXPECT_EQ(m_confirmed.zoneContacts(m_now).front().contactAge, 4s + confirmation::transitMargin);
    EXPECT_FALSE(m_confirmed.zonesOutOfContact(m_now + 1s).empty());
    m_confirmed.recordZoneContact("bilbao", 5s, m_now + 1s);
    EXPECT_FALSE(m_confirmed.zonesOutOfContact(m_now + 1s).empty());
}
