#include "fakes/config_history.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace tamarackridge;
using fakes::config_history;
using fakes::rateDelta;

namespace {

/// \brief Reads from the position of \a reader to the end of \a history, whose oldest retained
/// offset is \a first.
void readToEnd(config_log &reader, const config_history &history, std::int64_t first)
{
    for (int round = 0; round < 1000 && !(reader.nextReadOffset() >= history.end()); ++round) {
        const std::int64_t from = std::max(first, reader.nextReadOffset());
        reader.onLogRecords(history.read(from, 5), first, history.end(), time_point{});
    }
}

/// \brief Creates a history of valid, conflicting, invalid and undecodable records and late
/// snapshots.
config_history randomHistory(random_source &random, std::int64_t length)
{
    config_history history;
    while (history.end() < length) {
        const std::uint64_t kind = random.below(10);
        const std::string name = "c" + std::to_string(random.below(3));
        if (kind < 4)
            history.publish(history.version(), rateDelta(name, 1 + random.below(1000)));
        else if (kind < 6)
            history.publish(static_cast<std::int64_t>(random.below(history.end() + 2)) - 1,
                            rateDelta(name, 1 + random.below(1000)));
        else if (kind == 6)
            history.publish(history.version(), rateDelta(name, 0));
        else if (kind == 7)
            history.append(random.below(2) == 0 ? "{\"kind\": 7}" : "garbage");
        else if (history.version() >= 0)
            history.appendSnapshotOf(
                    history.version()
                    + static_cast<std::int64_t>(random.below(history.end() - history.version())));
        if (kind == 9 && history.version() >= 0) { // A late snapshot of an older version.
            std::int64_t old = static_cast<std::int64_t>(random.below(history.end()));
            if (history.at(old).version >= 0)
                history.appendSnapshotOf(old);
        }
    }
    // The last snapshot of every history allows a reader to reach its end.
    history.publish(history.version(), rateDelta("c0", 1));
    history.appendSnapshotOf(history.end() - 1);
    history.publish(history.version(), rateDelta("c0", 2));
    return history;
}

/// \brief A reader that receives log records, relayed records and peer states in random order.
class any_reader
{
public:
    any_reader(const config_history &history, random_source &random)
        : m_history(history)
        , m_random(random)
        , m_first(static_cast<std::int64_t>(random.below(history.end() - 2)))
    { }

    void step()
    {
        const std::int64_t before = m_log.version();
        switch (m_random.below(5)) {
        case 0:
            relay();
            break;
        case 1:
            receivePeerState();
            break;
        case 2: // The log trims records, whether or not they have been read.
            m_first = std::min(m_first + static_cast<std::int64_t>(m_random.below(4)),
                               m_history.end() - 2);
            break;
        default:
            readLog();
        }
        RC_ASSERT(m_log.version() >= before);
        checkAgainstHistory();
    }

    void finish()
    {
        readToEnd(m_log, m_history, m_first);
        RC_ASSERT(m_log.upToDate());
        checkAgainstHistory();
    }

private:
    void readLog()
    {
        const std::int64_t from = std::max(m_first, m_log.nextReadOffset());
        m_log.onLogRecords(m_history.read(from, 1 + m_random.below(6)), m_first, m_history.end(),
                           time_point{});
    }
    void relay()
    {
        const std::int64_t from = static_cast<std::int64_t>(m_random.below(m_history.end()));
        m_log.onRelayedRecords(m_history.read(from, 4), time_point{});
    }
    void receivePeerState()
    {
        const std::int64_t covered = static_cast<std::int64_t>(m_random.below(m_history.end()));
        const config_history::reader_state &state = m_history.at(covered);
        if (state.set != nullptr)
            m_log.onPeerState({state.version, covered, toJson(*state.set)}, time_point{});
    }
    void checkAgainstHistory()
    {
        if (m_log.coveredOffset() < 0)
            return;
        const config_history::reader_state &expected = m_history.at(m_log.coveredOffset());
        RC_ASSERT(m_log.version() == expected.version);
        RC_ASSERT((m_log.current() == nullptr) == (expected.set == nullptr));
        if (expected.set != nullptr)
            RC_ASSERT(m_log.current()->objects() == expected.set->objects());
    }

    const config_history &m_history;
    random_source &m_random;
    std::int64_t m_first;
    config_log m_log{snapshot_options{}};
};

} // namespace

// Guards against readers that disagree and versions that decrease, for any start offset, any
// trimming, and any order of records and peer states.
TEST(ConfigLog, ReadersAgreeAndNeverRevert)
{
    EXPECT_TRUE(rc::check("all readers agree", [](std::uint64_t seed) {
        seeded_random random(seed);
        const config_history history = randomHistory(random, 60);
        any_reader reader(history, random);
        for (int step = 0; step < 60; ++step)
            reader.step();
        reader.finish();
    }));
}

// Guards against a lost update: of two publications with the same base version, one must fail.
TEST(ConfigLog, SecondOfTwoRacingPublishersConflicts)
{
    config_history history;
    history.publish(-1, rateDelta("acme", 1));
    history.publish(0, rateDelta("acme", 2));
    history.publish(0, rateDelta("acme", 3));
    EXPECT_EQ(history.version(), 1);
    EXPECT_EQ(history.at(2).set->findCustomer("acme")->rate, 2U);
    EXPECT_EQ(history.reader().publicationOutcome("p2")->outcome, publication_outcome::conflict);
}

// Guards against applying a publication twice, or reporting a false conflict, when it was resent
// because the response to its append was lost.
TEST(ConfigLog, ResentAppendIsDecidedByItsFirstRecord)
{
    config_history history;
    const std::string data = encodePublication({"once", -1, rateDelta("acme", 1)});
    history.append(data);
    history.append(data);
    EXPECT_EQ(history.version(), 0);
    EXPECT_EQ(history.reader().publicationOutcome("once")->outcome, publication_outcome::applied);
    EXPECT_EQ(history.reader().publicationOutcome("once")->offset, 0);
}

// Guards against applying deltas to an unknown base after older records were trimmed.
TEST(ConfigLog, TrimmedLogNeedsSnapshotAndRereadsAfterItsCoveredOffset)
{
    config_history history;
    history.publish(-1, rateDelta("acme", 1));
    history.publish(0, rateDelta("acme", 2));
    history.publish(1, rateDelta("acme", 3));
    history.appendSnapshotOf(1);
    config_log reader{snapshot_options{}};
    reader.onLogRecords(history.read(2, 1), 2, history.end(), time_point{});
    EXPECT_EQ(reader.version(), -1);
    reader.onLogRecords(history.read(3, 1), 2, history.end(), time_point{});
    EXPECT_EQ(reader.version(), 1);
    EXPECT_EQ(reader.nextReadOffset(), 2);
    EXPECT_FALSE(reader.upToDate());
    readToEnd(reader, history, 2);
    EXPECT_TRUE(reader.upToDate());
    EXPECT_EQ(reader.version(), 2);
}

// Guards against a stale snapshot, appended late, that reverts a reader to an old version.
TEST(ConfigLog, StaleSnapshotAppendedLateChangesNothing)
{
    config_history history;
    for (std::int64_t base = -1; base < 4; ++base)
        history.publish(base, rateDelta("acme", 10 + base));
    history.appendSnapshotOf(0);
    EXPECT_EQ(history.version(), 4);
    config_log reader{snapshot_options{}};
    // Records 1 and 2, which readers of the snapshot need, are trimmed.
    readToEnd(reader, history, 3);
    EXPECT_EQ(reader.version(), -1);
    EXPECT_EQ(reader.counters().unusableSnapshots, 1U);
}

// Guards against a reader that stays outdated when relayed records have a gap.
TEST(ConfigLog, RelayGapIsClosedByPeerState)
{
    config_history history;
    for (std::int64_t base = -1; base < 3; ++base)
        history.publish(base, rateDelta("acme", 10 + base));
    config_log reader{snapshot_options{}};
    reader.onRelayedRecords(history.read(0, 1), time_point{});
    reader.onRelayedRecords(history.read(2, 2), time_point{});
    EXPECT_EQ(reader.version(), 0);
    EXPECT_TRUE(reader.needsFetch());
    EXPECT_TRUE(reader.onPeerState(*history.reader().stateFor(reader.version()), time_point{}));
    EXPECT_EQ(reader.version(), 3);
    EXPECT_FALSE(reader.needsFetch());
}

// Guards against sending a complete set to a peer that lacks only records without effect.
TEST(ConfigLog, GapWithoutANewVersionIsClosedWithoutTheSet)
{
    config_history history;
    history.publish(-1, rateDelta("acme", 1));
    history.append("garbage");
    history.append("garbage");
    config_log reader{snapshot_options{}};
    reader.onRelayedRecords(history.read(0, 1), time_point{});
    reader.onRelayedRecords(history.read(2, 1), time_point{});
    ASSERT_TRUE(reader.needsFetch());
    const std::optional<config_state> state = history.reader().stateFor(0);
    ASSERT_TRUE(state);
    EXPECT_EQ(state->set, "");
    EXPECT_FALSE(reader.onPeerState(*state, time_point{}));
    EXPECT_EQ(reader.coveredOffset(), 2);
    EXPECT_FALSE(reader.needsFetch());
}

// Guards against a node that accepts a log which lost its records as a confirmation, or reverts to
// what was published there afterwards.
TEST(ConfigLog, LogThatLostItsRecordsConfirmsNothing)
{
    config_log reader{snapshot_options{}};
    EXPECT_FALSE(reader.upToDate()); // Nothing has been read yet.
    config_history history;
    for (std::int64_t base = -1; base < 2; ++base)
        history.publish(base, rateDelta("acme", 10 + base));
    readToEnd(reader, history, 0);
    ASSERT_TRUE(reader.upToDate());
    config_history restarted;
    restarted.publish(-1, rateDelta("acme", 1));
    reader.onLogRecords(restarted.read(0, 5), 0, restarted.end(), time_point{});
    EXPECT_EQ(reader.version(), 2);
    EXPECT_FALSE(reader.upToDate());
    EXPECT_EQ(reader.counters().truncatedLogs, 1U);
}

// Guards against accepting a peer state whose version is after its covered offset.
TEST(ConfigLog, RefusesContradictingPeerState)
{
    config_log reader{snapshot_options{}};
    EXPECT_FALSE(reader.onPeerState({9, 3, "{}"}, time_point{}));
    EXPECT_FALSE(reader.onPeerState({1, 3, "no set"}, time_point{}));
    EXPECT_EQ(reader.counters().refusedStates, 2U);
    EXPECT_EQ(reader.current(), nullptr);
}
