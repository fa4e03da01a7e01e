#include "fakes/config_history.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

constexpr snapshot_options options{
        .retention = 1000s, .rankDelay = 5s, .appendRetryInterval = 30s, .recordsPerSnapshot = 20};

class config_snapshot_due : public ::testing::Test
{
protected:
    void append(const std::string &data, duration age = duration{})
    {
        const log_record record{m_end++, age, data};
        m_log.onLogRecords({&record, 1}, 0, m_end, m_now);
    }
    void publish() { append(encodePublication({"p", m_log.version(), fakes::rateDelta("a", 5)})); }

    config_log m_log{options};
    std::int64_t m_end = 0;
    time_point m_now{};
};

} // namespace

// Guards against a log that trims the last publication before any node has appended a snapshot.
TEST_F(config_snapshot_due, DueBeforeHalfOfTheRetentionInRankOrder)
{
    publish();
    EXPECT_FALSE(m_log.tick(0, m_now + 399s));
    EXPECT_FALSE(m_log.tick(2, m_now + 400s));
    EXPECT_FALSE(m_log.tick(2, m_now + 409s));
    EXPECT_TRUE(m_log.tick(2, m_now + 410s));
    EXPECT_FALSE(m_log.tick(2, m_now + 439s)); // One append per 30 s.
    EXPECT_TRUE(m_log.tick(2, m_now + 440s));
}

// Guards against a snapshot that every node appends.
TEST_F(config_snapshot_due, CancelledByAnotherNodesSnapshot)
{
    publish();
    m_now += 400s;
    EXPECT_FALSE(m_log.tick(1, m_now));
    append(encodeSnapshot(m_log.version(), m_log.coveredOffset(), *m_log.current()));
    EXPECT_FALSE(m_log.tick(1, m_now + 10s));
    EXPECT_TRUE(m_log.tick(0, m_now + 400s));
}

// Guards against a snapshot that was appended recently but needs records that will soon be trimmed.
TEST_F(config_snapshot_due, StaleSnapshotDoesNotPostponeTheNext)
{
    publish();
    publish();
    const std::string stale = encodeSnapshot(0, 0, *m_log.current());
    m_now += 400s;
    append(stale);
    EXPECT_TRUE(m_log.tick(0, m_now));
}

// Guards against a new reader that has to replay a whole day of publications.
TEST_F(config_snapshot_due, DueAfterManyRecords)
{
    publish();
    for (int count = 0; count < 19; ++count)
        append("garbage");
    EXPECT_FALSE(m_log.tick(0, m_now));
    append("garbage");
    const std::optional<std::string> data = m_log.tick(0, m_now);
    ASSERT_TRUE(data);
    append(*data);
    EXPECT_FALSE(m_log.tick(0, m_now));
}

// Guards against a log whose retention is shorter than configured in the nodes' settings.
TEST_F(config_snapshot_due, DueImmediatelyWhenTheLogTrimmedWhatReadersNeed)
{
    publish();
    publish();
    m_log.onLogRecords({}, 0, m_end, m_now);
    EXPECT_FALSE(m_log.tick(0, m_now));
    m_log.onLogRecords({}, 1, m_end, m_now);
    EXPECT_TRUE(m_log.tick(0, m_now));
}

// Guards against nodes that got the configuration from a peer, do not know the age of the last
// snapshot, and never append one.
TEST_F(config_snapshot_due, UnknownSnapshotAgeIsDueAfterAnEighthOfTheRetention)
{
    publish();
    config_log fresh{options};
    ASSERT_TRUE(fresh.onPeerState(*m_log.stateFor(-1), m_now));
    EXPECT_FALSE(fresh.tick(0, m_now + 124s));
    EXPECT_TRUE(fresh.tick(0, m_now + 126s));
}
