#include "tamarackridge/quarantine"

#include "fakes/quarantine_group.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace tamarackridge;
using namespace tamarackridge::fakes;
using namespace std::chrono_literals;

namespace {

const fixed_source killer("killer");
const fixed_source healthy("healthy");
const fixed_source third("third");

class quarantine_rules : public testing::Test
{
public:
    void start(run_id run, const fixed_source &source)
    {
        tracker.onRunStarted(run, source, tracker.permissionFor(source, now));
    }
    run_permission permission(const fixed_source &source)
    {
        return tracker.permissionFor(source, now).permission;
    }

    crash_tracker tracker;
    time_point now = time_point(1h);
};

} // namespace

// Guards against hashing request bodies while nothing is suspected.
TEST_F(quarantine_rules, ComputesNoFingerprintWithoutSuspects)
{
    for (run_id run = 1; run <= 100; ++run)
        start(run, healthy);
    for (run_id run = 1; run <= 100; ++run)
        tracker.onRunFinished(run, true, now);
    EXPECT_EQ(tracker.fingerprintsComputed(), 0U);
}

// Guards against two requests that share a fingerprint because a byte moved between their parts.
TEST(Fingerprint, PartsAreDelimited)
{
    const fingerprint one = fingerprintOf({"r", "GET", "/ab", "c", "d"});
    EXPECT_NE(one, fingerprintOf({"r", "GET", "/a", "bc", "d"}));
    EXPECT_NE(one, fingerprintOf({"r", "GET", "/ab", "cd", ""}));
    EXPECT_NE(one, fingerprintOf({"r", "GET", "/ab", "c", "e"}));
    EXPECT_EQ(parseFingerprint(toString(one)), one);
    EXPECT_FALSE(parseFingerprint("xyz"));
    EXPECT_FALSE(parseFingerprint(std::string(31, '0') + "g"));
}

// Guards against a request that crashes a third backend server.
TEST_F(quarantine_rules, SecondCrashConvicts)
{
    start(1, killer);
    EXPECT_EQ(tracker.onCrash(now).size(), 1U);
    EXPECT_EQ(permission(killer), run_permission::run_alone);
    start(2, killer);
    tracker.onCrash(now);
    EXPECT_EQ(permission(killer), run_permission::refuse);
    now += 9min;
    EXPECT_EQ(permission(killer), run_permission::refuse);
    now += 61s;
    tracker.expire(now);
    EXPECT_EQ(permission(killer), run_permission::run);
    EXPECT_EQ(tracker.entryCount(), 0U);
}

// Guards against convicting a healthy request that ran beside the killer twice.
TEST_F(quarantine_rules, HealthyNeighbourIsNotConvicted)
{
    start(1, killer);
    start(2, healthy);
    tracker.onCrash(now);
    // The two suspects never run together again.
    start(3, healthy);
    EXPECT_EQ(permission(killer), run_permission::wait);
    tracker.onRunFinished(3, true, now);
    EXPECT_EQ(permission(healthy), run_permission::run);
    start(4, killer);
    start(5, healthy);
    tracker.onCrash(now);
    EXPECT_EQ(permission(killer), run_permission::refuse);
    EXPECT_EQ(permission(healthy), run_permission::run);
}

// Guards against a suspect that stays one although it was answered.
TEST_F(quarantine_rules, SuccessClears)
{
    start(1, healthy);
    tracker.onCrash(now);
    start(2, healthy);
    EXPECT_EQ(tracker.onRunFinished(2, true, now).size(), 1U);
    EXPECT_EQ(permission(healthy), run_permission::run);
    start(3, healthy);
    EXPECT_TRUE(tracker.onRunFinished(3, true, now).empty());
    start(4, healthy);
    tracker.onCrash(now);
    EXPECT_EQ(permission(healthy), run_permission::run_alone);
}

// Guards against a failed run that counts as proof of innocence.
TEST_F(quarantine_rules, FailureDoesNotClear)
{
    start(1, killer);
    tracker.onCrash(now);
    start(2, killer);
    EXPECT_TRUE(tracker.onRunFinished(2, false, now).empty());
    EXPECT_EQ(permission(killer), run_permission::run_alone);
}

// Guards against convictions by crashes with several suspects, which prove nothing about one.
TEST_F(quarantine_rules, CrashWithSeveralSuspectsConvictsNone)
{
    start(1, killer);
    start(2, third);
    tracker.onCrash(now);
    // Both started before either was known to be a suspect.
    tracker.onRunStarted(3, killer, {});
    tracker.onRunStarted(4, third, {});
    tracker.onCrash(now);
    EXPECT_EQ(permission(killer), run_permission::run_alone);
    EXPECT_EQ(permission(third), run_permission::run_alone);
}

// Guards against two crashes of one cause, such as several runs of one request, counted as two.
TEST_F(quarantine_rules, OneCrashCountsOnce)
{
    start(1, killer);
    start(2, killer);
    tracker.onCrash(now);
    EXPECT_EQ(permission(killer), run_permission::run_alone);
}

// Guards against suspicion that outlives its minute.
TEST_F(quarantine_rules, SuspicionExpires)
{
    start(1, healthy);
    tracker.onCrash(now);
    now += 60s;
    start(2, healthy);
    tracker.onCrash(now);
    EXPECT_EQ(permission(healthy), run_permission::run_alone);
}

// Guards against memory that grows with the number of crashed requests.
TEST(QuarantineMemory, OldestSuspectsAreDroppedFirst)
{
    crash_tracker tracker({.maxEntries = 10});
    time_point now(1h);
    std::vector<fixed_source> sources;
    sources.reserve(100);
    for (int index = 0; index < 100; ++index)
        sources.emplace_back(std::to_string(index));
    for (run_id run = 0; run < 100; ++run, now += 100ms) {
        tracker.onRunStarted(run, sources[run], {});
        tracker.onCrash(now);
    }
    EXPECT_EQ(tracker.entryCount(), 10U);
    EXPECT_EQ(tracker.permissionFor(sources[99], now).permission, run_permission::run_alone);
    EXPECT_EQ(tracker.permissionFor(sources[0], now).permission, run_permission::run);
}

// Guards against a conviction that is dropped in favour of suspects, so that its request runs
// again.
TEST(QuarantineMemory, ConvictionsOutlastSuspects)
{
    crash_tracker tracker({.maxEntries = 2});
    time_point now(1h);
    tracker.onRunStarted(1, killer, {});
    tracker.onCrash(now);
    tracker.onRunStarted(2, killer, {});
    tracker.onCrash(now);
    std::vector<fixed_source> sources;
    sources.reserve(20);
    for (int index = 0; index < 20; ++index)
        sources.emplace_back(std::to_string(index));
    now += 9min + 30s;
    for (run_id run = 0; run < 20; ++run) {
        tracker.onRunStarted(run, sources[run], {});
        tracker.onCrash(now);
    }
    EXPECT_EQ(tracker.permissionFor(killer, now).permission, run_permission::refuse);
}

// Guards against entries of peers that corrupt the state.
TEST_F(quarantine_rules, MalformedEntriesAreIgnored)
{
    const std::string key = toString(fingerprintOf(killer.parts()));
    for (const char *payload : {"", "1", "1 1 1", "1 1 2 5", "1 1 1 99999999999", "1 1 1 5 ",
                                "-1 1 1 5", "1 1 0 x", "4294967296 1 1 5"})
        EXPECT_FALSE(tracker.onEntry(key, payload, now)) << payload;
    EXPECT_FALSE(tracker.onEntry("key", "1 1 1 5", now));
    EXPECT_EQ(tracker.entryCount(), 0U);
}

// Guards against nodes that disagree because entries reach them in different orders.
RC_GTEST_PROP(QuarantineMerge, OrderDoesNotMatter, ())
{
    const std::string key = toString(fingerprintOf(killer.parts()));
    std::vector<std::string> payloads;
    for (int count = *rc::gen::inRange(1, 8); count > 0; --count) {
        payloads.push_back(std::to_string(*rc::gen::inRange(0, 3)) + ' '
                           + std::to_string(*rc::gen::inRange(0, 3)) + ' '
                           + std::to_string(*rc::gen::inRange(0, 2)) + ' '
                           + std::to_string(*rc::gen::inRange(1, 3) * 1000));
    }
    const time_point now(1h);
    crash_tracker forward;
    for (const std::string &payload : payloads)
        forward.onEntry(key, payload, now);
    crash_tracker backward;
    std::ranges::reverse(payloads);
    for (const std::string &payload : payloads) {
        backward.onEntry(key, payload, now);
        backward.onEntry(key, payload, now); // Repeated.
    }
    RC_ASSERT(forward.entry(key, now)->payload == backward.entry(key, now)->payload);
    RC_ASSERT(forward.entry(key, now)->version == backward.entry(key, now)->version);
}
