#include "ctl/config_client.h"

#include "fakes/config_history.h"
#include "fakes/service_transport.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using fakes::rateDelta;

namespace {

class ctl_publish : public ::testing::Test
{
protected:
    config_set withRate(std::uint32_t rate) const
    {
        return apply(config_set(), rateDelta("acme", rate)).value();
    }
    config_client newClient()
    {
        return {m_log, m_random, [this](duration) {
                    ++m_pauses;
                    if (m_onPause)
                        m_onPause();
                }};
    }
    std::size_t recordsInLog() { return newClient().history().value().size(); }

    fakes::service_transport m_transport;
    platform_log m_log{m_transport, "http://log/"};
    seeded_random m_random{11};
    int m_pauses = 0;
    std::function<void()> m_onPause;
    config_client m_client = newClient();
};

} // namespace

// Guards against a publication that is reported before its outcome can be read from the log, and
// against a second record for unchanged content.
TEST_F(ctl_publish, PublishingTheSameContentAgainAppendsNothing)
{
    const change_report first = m_client.publish(withRate(5), -1);
    EXPECT_EQ(first.outcome, change_outcome::published);
    EXPECT_EQ(first.version, 0);
    EXPECT_EQ(m_client.publish(withRate(5), 0).outcome, change_outcome::unchanged);
    EXPECT_EQ(recordsInLog(), 1U);
}

// Guards against a delta whose size depends on the configuration instead of the change.
TEST_F(ctl_publish, PublishesOnlyTheDifference)
{
    ASSERT_EQ(m_client.publish(fakes::sampleSet(), -1).outcome, change_outcome::published);
    config_objects objects = fakes::sampleObjects();
    objects.customers.front().rate = 7;
    const change_report report =
            m_client.publish(config_set::create(objects).value(), std::nullopt);
    EXPECT_EQ(report.delta.upserts.customers.size(), 1U);
    EXPECT_TRUE(report.delta.upserts.routes.empty());
    EXPECT_TRUE(report.delta.deletes.empty());
}

// Guards against a publication that is based on an old version and reverts a newer one.
TEST_F(ctl_publish, OutdatedBaseIsAConflict)
{
    ASSERT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::published);
    EXPECT_EQ(newClient().publish(withRate(6), 0).outcome, change_outcome::published);
    const change_report late = m_client.publish(withRate(7), 0);
    EXPECT_EQ(late.outcome, change_outcome::conflict);
    EXPECT_EQ(late.version, 1);
    EXPECT_EQ(recordsInLog(), 2U);
}

// Guards against a lost update when two publishers start from the same version.
TEST_F(ctl_publish, FirstRecordInTheLogWinsARace)
{
    ASSERT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::published);
    m_transport.beforeAppend = [this] { newClient().publish(withRate(6), 0); };
    const change_report late = m_client.publish(withRate(7), 0);
    EXPECT_EQ(late.outcome, change_outcome::conflict);
    EXPECT_EQ(m_client.current().findCustomer("acme")->rate, 6U);
}

// Guards against a second publication when only the response to the append was lost.
TEST_F(ctl_publish, AppendWithALostResponseIsFoundByPublicationId)
{
    m_transport.setFaults(R"({"applied_but_lost": 1})");
    EXPECT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::published);
    EXPECT_EQ(recordsInLog(), 1U);
    EXPECT_EQ(m_pauses, 0);
}

// Guards against giving up or reporting success during a short outage of the log.
TEST_F(ctl_publish, AppendIsRepeatedAfterAnOutage)
{
    ASSERT_FALSE(m_client.catchUp());
    m_transport.beforeAppend = [this] { m_transport.setFaults(R"({"unavailable_ms": 60000})"); };
    m_onPause = [this] { m_transport.setFaults(R"({"unavailable_ms": 0})"); };
    EXPECT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::published);
    EXPECT_EQ(m_pauses, 1);
    EXPECT_EQ(recordsInLog(), 1U);
}

// Guards against reporting a definite outcome while it is unknown whether the record took effect.
TEST_F(ctl_publish, LongOutageLeavesTheOutcomeUndecided)
{
    m_transport.beforeAppend = [this] { m_transport.setFaults(R"({"unavailable_ms": 60000})"); };
    EXPECT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::undecided);
    EXPECT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::unavailable);
}

// Guards against reading only the first page of a large log.
TEST_F(ctl_publish, ReadsAllPages)
{
    fakes::service_transport transport({.maxAppendsPerSecond = 100000});
    platform_log log(transport, "http://log");
    for (std::int64_t base = -1; base < 1200; ++base)
        ASSERT_TRUE(log.append("config", encodePublication({"p" + std::to_string(base), base,
                                                            rateDelta("acme", 10 + base)})));
    config_client client(log, m_random, [](duration) {});
    ASSERT_FALSE(client.catchUp());
    EXPECT_EQ(client.version(), 1200);
    const std::vector<history_entry> entries = client.history().value();
    ASSERT_EQ(entries.size(), 1201U);
    EXPECT_EQ(entries.front().result->outcome, publication_outcome::applied);
}

// Guards against publishing a delta when the configuration in force can no longer be read from a
// trimmed log.
TEST_F(ctl_publish, TrimmedLogRequiresBootstrap)
{
    ASSERT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::published);
    EXPECT_EQ(m_client.bootstrap(withRate(9)).outcome, change_outcome::conflict);
    m_transport.setFaults(R"({"trim_below": {"stream": "config", "offset": 1}})");
    config_client fresh = newClient();
    EXPECT_EQ(fresh.publish(withRate(8), std::nullopt).outcome, change_outcome::trimmed);
    EXPECT_EQ(fresh.bootstrap(withRate(9)).outcome, change_outcome::published);
    EXPECT_EQ(newClient().publish(withRate(10), std::nullopt).outcome, change_outcome::published);
}

// Guards against an edit that fails or overwrites another object because of a concurrent change.
TEST_F(ctl_publish, EditIsRetriedAfterAConflict)
{
    ASSERT_EQ(m_client.publish(withRate(5), -1).outcome, change_outcome::published);
    m_transport.beforeAppend = [this] { newClient().publish(withRate(6), 0); };
    const change_report report =
            m_client.edit([](const config_set &) { return rateDelta("globex", 3); });
    EXPECT_EQ(report.outcome, change_outcome::published);
    EXPECT_EQ(m_client.current().findCustomer("acme")->rate, 6U);
    EXPECT_EQ(m_client.current().findCustomer("globex")->rate, 3U);
}
