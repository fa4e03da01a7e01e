#include "tamarackridge/quarantine"

#include "fakes/quarantine_group.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace tamarackridge;
using namespace tamarackridge::fakes;
using namespace std::chrono_literals;

namespace {

const test_request crashingRequest("crashing");
const test_request healthyRequest("healthy");
const test_request otherRequest("other");

class quarantine_rules : public testing::Test
{
public:
    void start(run_id run, const test_request &source)
    {
        tracker.onRunStarted(run, source, tracker.permissionFor(source, now));
    }
    run_permission permission(const test_request &source)
    {
        return tracker.permissionFor(source, now).permission;
    }

    crash_tracker tracker;
    time_point now = time_point(1h);
};

} // namespace

// Guards against hashing request bodies while there are no suspects.
TEST_F(quarantine_rules, ComputesNoFingerprintWithoutSuspects)
{
    for (run_id run = 1; run <= 100; ++run)
        start(run, healthyRequest);
    for (run_id run = 1; run <= 100; ++run)
        tracker.onRunFinished(run, true, now);
    EXPECT_EQ(tracker.identitiesComputed(), 0U);
}

// Guards against a common fingerprint of two requests that differ only in where one part ends and
// the next begins.
TEST(Fingerprint, PartsAreDelimited)
{
    const fingerprint one = identityOf({"GET", "/ab", "c", "d"}).request;
    EXPECT_NE(one, identityOf({"GET", "/a", "bc", "d"}).request);
    EXPECT_NE(one, identityOf({"GET", "/ab", "cd", ""}).request);
    EXPECT_NE(one, identityOf({"GET", "/ab", "c", "e"}).request);
    EXPECT_EQ(one, identityOf({"GET", "/ab", "c", "d"}).variant);
    EXPECT_EQ(one, identityOf({"GET", "/ab?x", "c", "d"}).request);
    EXPECT_NE(one, identityOf({"GET", "/ab?x", "c", "d"}).variant);
    EXPECT_NE(one, identityOf({"GET", "/ab?", "c", "d"}).variant);
    EXPECT_EQ(parseFingerprint(toString(one)), one);
    EXPECT_FALSE(parseFingerprint("xyz"));
    EXPECT_FALSE(parseFingerprint(std::string(31, '0') + "g"));
}

// Guards against a crashing request that may run a third time.
TEST_F(quarantine_rules, SecondCrashQuarantines)
{
    start(1, crashingRequest);
    EXPECT_EQ(tracker.onCrash(now).size(), 1U);
    EXPECT_EQ(permission(crashingRequest), run_permission::run_alone);
    start(2, crashingRequest);
    tracker.onCrash(now);
    EXPECT_EQ(permission(crashingRequest), run_permission::refuse);
    now += 9min;
    EXPECT_EQ(permission(crashingRequest), run_permission::refuse);
    now += 61s;
    tracker.expire(now);
    EXPECT_EQ(permission(crashingRequest), run_permission::run);
    EXPECT_EQ(tracker.entryCount(), 0U);
}

// Guards against quarantining a healthy request that was running during both crashes.
TEST_F(quarantine_rules, HealthyConcurrentRequestIsNotQuarantined)
{
    start(1, crashingRequest);
    start(2, healthyRequest);
    tracker.onCrash(now);
    // The two suspects must not run together again.
    start(3, healthyRequest);
    EXPECT_EQ(permission(crashingRequest), run_permission::wait);
    tracker.onRunFinished(3, true, now);
    EXPECT_EQ(permission(healthyRequest), run_permission::run);
    start(4, crashingRequest);
    start(5, healthyRequest);
    tracker.onCrash(now);
    EXPECT_EQ(permission(crashingRequest), run_permission::refuse);
    EXPECT_EQ(permission(healthyRequest), run_permission::run);
}

// Guards against a request that remains a suspect although the backend server responded to it.
TEST_F(quarantine_rules, SuccessClears)
{
    start(1, healthyRequest);
    tracker.onCrash(now);
    start(2, healthyRequest);
    EXPECT_EQ(tracker.onRunFinished(2, true, now).size(), 1U);
    EXPECT_EQ(permission(healthyRequest), run_permission::run);
    start(3, healthyRequest);
    EXPECT_TRUE(tracker.onRunFinished(3, true, now).empty());
    start(4, healthyRequest);
    tracker.onCrash(now);
    EXPECT_EQ(permission(healthyRequest), run_permission::run_alone);
}

// Guards against refusing other variants of a request of which one crashes servers.
TEST_F(quarantine_rules, ASecondCrashOfAVariantQuarantinesTheVariantAlone)
{
    const test_request crashing("", "/list?page=1");
    const test_request other("", "/list?page=2");
    start(1, crashing);
    tracker.onCrash(now);
    start(2, crashing);
    tracker.onCrash(now);
    EXPECT_EQ(permission(crashing), run_permission::refuse);
    EXPECT_EQ(permission(other), run_permission::run_alone);
    start(3, other);
    tracker.onRunFinished(3, true, now);
    EXPECT_EQ(permission(other), run_permission::run);
    EXPECT_EQ(permission(crashing), run_permission::refuse);
}

// Guards against a request that crashes a server with each new query.
TEST_F(quarantine_rules, ACrashOfAnotherVariantQuarantinesTheRequest)
{
    const test_request first("", "/list?page=1");
    const test_request second("", "/list?page=2");
    start(1, first);
    tracker.onCrash(now);
    start(2, second);
    tracker.onCrash(now);
    EXPECT_EQ(permission(test_request("", "/list?page=3")), run_permission::refuse);
    EXPECT_EQ(permission(test_request("", "/list")), run_permission::refuse);
    EXPECT_EQ(permission(test_request("", "/list/3")), run_permission::run);
    EXPECT_EQ(permission(test_request("body", "/list")), run_permission::run);
}

// Guards against clearing a suspect because of a run that failed without a crash.
TEST_F(quarantine_rules, FailureDoesNotClear)
{
    start(1, crashingRequest);
    tracker.onCrash(now);
    start(2, crashingRequest);
    EXPECT_TRUE(tracker.onRunFinished(2, false, now).empty());
    EXPECT_EQ(permission(crashingRequest), run_permission::run_alone);
}

// Guards against quarantining requests after a crash with several suspects, any of which may have
// caused it.
TEST_F(quarantine_rules, CrashWithSeveralSuspectsQuarantinesNone)
{
    start(1, crashingRequest);
    start(2, otherRequest);
    tracker.onCrash(now);
    // Both start as if neither were known to be a suspect.
    tracker.onRunStarted(3, crashingRequest, {});
    tracker.onRunStarted(4, otherRequest, {});
    tracker.onCrash(now);
    EXPECT_EQ(permission(crashingRequest), run_permission::run_alone);
    EXPECT_EQ(permission(otherRequest), run_permission::run_alone);
}

// Guards against counting one crash several times because several runs of one request ended in it.
TEST_F(quarantine_rules, OneCrashCountsOnce)
{
    start(1, crashingRequest);
    start(2, crashingRequest);
    tracker.onCrash(now);
    EXPECT_EQ(permission(crashingRequest), run_permission::run_alone);
}

// Guards against a crash that is attributed to no request because its runs had been reported before
// the crash was noticed.
TEST_F(quarantine_rules, CrashIsAttributedToInterruptedRuns)
{
    start(1, crashingRequest);
    tracker.onRunInterrupted(1, now);
    now += 29s;
    EXPECT_EQ(tracker.onCrash(now).size(), 1U);
    EXPECT_EQ(permission(crashingRequest), run_permission::run_alone);
    EXPECT_TRUE(tracker.onCrash(now).empty()); // Each run is attributed to one crash.
}

// Guards against a request that escapes quarantine because another suspect was started on the
// server that it had just crashed: with two suspects, the crash is attributed to neither.
TEST_F(quarantine_rules, ASuspectWaitsUntilTheInterruptionOfAnotherOneIsExplained)
{
    start(1, crashingRequest);
    start(2, healthyRequest);
    tracker.onCrash(now);
    start(3, crashingRequest);
    tracker.onRunInterrupted(3, now);
    EXPECT_EQ(permission(healthyRequest), run_permission::wait);
    EXPECT_EQ(permission(otherRequest), run_permission::run);
    now += 100ms;
    tracker.onCrash(now);
    EXPECT_EQ(permission(crashingRequest), run_permission::refuse);
    EXPECT_EQ(permission(healthyRequest), run_permission::run_alone);
}

// Guards against suspects that wait for long on a server that has not crashed.
TEST_F(quarantine_rules, AnInterruptionHoldsOtherSuspectsBackForAShortTimeOnly)
{
    start(1, otherRequest);
    start(2, healthyRequest);
    tracker.onCrash(now);
    start(3, otherRequest);
    tracker.onRunInterrupted(3, now);
    EXPECT_EQ(permission(healthyRequest), run_permission::wait);
    now += 200ms;
    EXPECT_EQ(permission(healthyRequest), run_permission::run_alone);
}

// Guards against suspecting requests whose runs failed while the server went on responding, or long
// before the crash.
TEST_F(quarantine_rules, ALaterResponseOrALongTimeClearsInterruptedRuns)
{
    start(1, healthyRequest);
    start(2, otherRequest);
    tracker.onRunInterrupted(1, now);
    tracker.onRunFinished(2, true, now); // Started before the interruption, so it shows nothing.
    EXPECT_EQ(tracker.onCrash(now).size(), 1U);
    start(3, otherRequest);
    tracker.onRunInterrupted(3, now);
    start(4, crashingRequest);
    tracker.onRunFinished(4, true, now);
    EXPECT_TRUE(tracker.onCrash(now).empty());
    start(5, otherRequest);
    tracker.onRunInterrupted(5, now);
    now += 30s;
    EXPECT_TRUE(tracker.onCrash(now).empty());
}

// Guards against memory use that grows with the number of failed runs.
TEST(QuarantineMemory, InterruptedRunsAreBounded)
{
    crash_tracker tracker({.maxInterruptedRuns = 10});
    const time_point now(1h);
    std::vector<test_request> sources;
    sources.reserve(100);
    for (run_id run = 0; run < 100; ++run) {
        sources.emplace_back(std::to_string(run));
        tracker.onRunStarted(run, sources.back(), {});
        tracker.onRunInterrupted(run, now);
    }
    EXPECT_EQ(tracker.onCrash(now).size(), 10U);
}

// Guards against a request that remains a suspect for longer than the suspect period of 60 s.
TEST_F(quarantine_rules, SuspicionExpires)
{
    start(1, healthyRequest);
    tracker.onCrash(now);
    now += 60s;
    start(2, healthyRequest);
    tracker.onCrash(now);
    EXPECT_EQ(permission(healthyRequest), run_permission::run_alone);
}

// Guards against memory use that grows with the number of suspects.
TEST(QuarantineMemory, OldestSuspectsAreEvictedFirst)
{
    crash_tracker tracker({.maxEntries = 10});
    time_point now(1h);
    std::vector<test_request> sources;
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

// Guards against evicting a quarantined request in favour of suspects, after which it would run
// again.
TEST(QuarantineMemory, QuarantinedRequestsAreEvictedAfterSuspects)
{
    crash_tracker tracker({.maxEntries = 2});
    time_point now(1h);
    tracker.onRunStarted(1, crashingRequest, {});
    tracker.onCrash(now);
    tracker.onRunStarted(2, crashingRequest, {});
    tracker.onCrash(now);
    std::vector<test_request> sources;
    sources.reserve(20);
    for (int index = 0; index < 20; ++index)
        sources.emplace_back(std::to_string(index));
    now += 9min + 30s;
    for (run_id run = 0; run < 20; ++run) {
        tracker.onRunStarted(run, sources[run], {});
        tracker.onCrash(now);
    }
    EXPECT_EQ(tracker.permissionFor(crashingRequest, now).permission, run_permission::refuse);
}

// Guards against malformed entries from peers that corrupt the state.
TEST_F(quarantine_rules, MalformedEntriesAreIgnored)
{
    const std::string key = toString(identityOf(crashingRequest.parts()).request);
    for (const char *payload : {"", "1", "1 1 1", "1 1 2 5", "1 1 1 99999999999", "1 1 1 5 ",
                                "-1 1 1 5", "1 1 0 x", "4294967296 1 1 5"})
        EXPECT_FALSE(tracker.onEntry(key, payload, now)) << payload;
    EXPECT_FALSE(tracker.onEntry("key", "1 1 1 5", now));
    EXPECT_EQ(tracker.entryCount(), 0U);
}

// Guards against nodes with different states because entries reached them in different orders.
RC_GTEST_PROP(QuarantineMerge, OrderDoesNotMatter, ())
{
    const std::string key = toString(identityOf(crashingRequest.parts()).request);
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
