#include "fakes/quota_fleet.h"
#include "fakes/tenure_group.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace tamarackridge;
using namespace tamarackridge::fakes;
using namespace std::chrono_literals;

namespace {

const slot_id firstSlot{"z", 0};

/// \brief Options with which a single node claims a slot immediately.
tenure_options immediateClaims()
{
    return {.lease = 100s, .claimDelay = 0s};
}

std::string claimText(const node_ref &holder, std::int64_t previous, duration lease = 100s)
{
    tenure_record record;
    record.slot = firstSlot;
    record.holder = holder;
    record.previous = previous;
    record.slotsInFleet = 4;
    record.lease = lease;
    return encodeTenureRecord(record);
}

const node_ref other{"z", "other", 77};

} // namespace

// Guards against two nodes that both hold a slot after racing for it, and against one node that
// claims all slots of its zone.
TEST(QuotaTenure, NodesSpreadOverSlots)
{
    tenure_group group;
    std::vector<tenure_group::member *> members;
    for (const char *name : {"a", "b", "c", "d"})
        members.push_back(&group.add("z", name));
    group.runFor(60s);
    std::set<slot_id> held;
    for (const tenure_group::member *member : members) {
        EXPECT_EQ(group.held(*member), 1U) << member->self.name;
        for (const held_slot &slot : member->tenure.held(group.now))
            EXPECT_TRUE(held.insert(slot.slot).second);
    }
    EXPECT_LE(group.log.size(), 6U);
}

// Guards against a flood of appends when many nodes find the same slots free.
TEST(QuotaTenure, ManyNodesSendFewClaims)
{
    fleet_options options;
    options.zones = 1;
    options.nodesPerZone = 64;
    options.claimDelay = tenure_options::forFleet(64, 4).claimDelay;
    quota_fleet fleet(options);
    fleet.runFor(60s);
    std::printf("64 nodes, 4 slots: %zu appends\n", fleet.appends());
    EXPECT_GE(fleet.appends(), 4U);
    EXPECT_LE(fleet.appends(), 10U);
}

// Guards against slots without a holder in a zone that has fewer nodes than slots.
TEST(QuotaTenure, OneNodeHoldsSeveralSlots)
{
    tenure_group group;
    tenure_group::member &one = group.add("z", "a");
    tenure_group::member &two = group.add("z", "b");
    group.runFor(2min);
    EXPECT_EQ(group.held(one) + group.held(two), 4U);
    EXPECT_NEAR(group.share(), 1, 1e-9);
}

// Guards against claiming slots of another zone, whose nodes would lose access to their share if
// the zones were separated.
TEST(QuotaTenure, OnlySlotsOfTheNodesZoneAreClaimed)
{
    tenure_group group;
    group.zones = {{"z", 2}, {"y", 2}};
    tenure_group::member &member = group.add("z", "a");
    group.runFor(2min);
    EXPECT_EQ(group.held(member), 2U);
}

// Guards against accepting a record although another one was accepted after its predecessor.
TEST(QuotaTenure, RecordMustFollowTheLastAcceptedOne)
{
    tenure_group group(immediateClaims());
    tenure_group::member &reader = group.add("z", "a");
    group.log = {claimText({"z", "x", 5}, -1), claimText({"z", "y", 6}, -1),
                 claimText({"z", "w", 7}, 0), claimText({"z", "v", 8}, 0)};
    group.read(reader);
    ASSERT_EQ(reader.tenure.slots().size(), 1U);
    EXPECT_EQ(reader.tenure.slots().front().holder.name, "w");
    EXPECT_EQ(reader.tenure.ignoredRecords(), 2U);
}

// Guards against readers that treat an undecodable record differently.
TEST(QuotaTenure, UndecodableRecordIsCountedAndIgnored)
{
    tenure_group group(immediateClaims());
    tenure_group::member &reader = group.add("z", "a");
    group.log = {"{", "[]", R"({"type":"claim"})", claimText(other, 9), claimText(other, -1, -1s)};
    std::string huge = claimText(other, -1);
    huge.replace(huge.find("100000"), 6, "99999999999999999999");
    group.log.push_back(huge);
    group.read(reader);
    EXPECT_EQ(reader.tenure.undecodable(), 6U);
    EXPECT_TRUE(reader.tenure.slots().empty());
}

// Guards against losing a slot whose claim was appended although the response was lost.
TEST(QuotaTenure, ClaimWithLostResponseIsFoundByReading)
{
    tenure_group group(immediateClaims());
    group.zones = {{"z", 1}};
    tenure_group::member &member = group.add("z", "a");
    group.read(member);
    const std::vector<tenure_append> appends = member.tenure.tick(group.now);
    ASSERT_EQ(appends.size(), 1U);
    group.log.push_back(appends.front().text);
    member.tenure.onAppendDone(false);
    group.now += 3s;
    EXPECT_FALSE(member.tenure.holds(firstSlot, group.now));
    group.read(member);
    EXPECT_TRUE(member.tenure.holds(firstSlot, group.now));
    // The lease starts when the claim is sent, not when it is read back.
    EXPECT_LE(member.tenure.heldUntil(firstSlot), group.now - 3s + 100s);
}

// Guards against a restarted node that treats the lease of its earlier incarnation as its own.
TEST(QuotaTenure, EarlierIncarnationIsAnotherHolder)
{
    tenure_group group(immediateClaims());
    group.zones = {{"z", 1}};
    tenure_group::member &first = group.add("z", "a");
    group.runFor(1s);
    first.isRunning = false;
    tenure_group::member &second = group.add("z", "a");
    group.runFor(99s);
    EXPECT_EQ(group.held(second), 0U);
    group.runFor(10s);
    EXPECT_EQ(group.held(second), 1U);
}

// Guards against two simultaneous holders: a paused holder's lease must end before another node
// claims the slot.
TEST(QuotaTenure, PausedHolderLosesTheSlotBeforeAnotherClaims)
{
    tenure_group group(immediateClaims());
    group.zones = {{"z", 1}};
    tenure_group::member &paused = group.add("z", "a");
    group.runFor(1s);
    ASSERT_EQ(group.held(paused), 1U);
    paused.isRunning = false;
    tenure_group::member &claimant = group.add("z", "b");
    for (int step = 0; step < 1200; ++step) {
        group.runFor(100ms);
        ASSERT_LE(group.held(paused) + group.held(claimant), 1U);
    }
    EXPECT_EQ(group.held(claimant), 1U);
}

// Guards against a planned stop after which the share of a slot stays unused.
TEST(QuotaTenure, ReleaseFreesTheSlotImmediately)
{
    tenure_group group(immediateClaims());
    group.zones = {{"z", 1}};
    tenure_group::member &leaving = group.add("z", "a");
    group.runFor(1s);
    tenure_group::member &next = group.add("z", "b");
    group.runFor(1s);
    group.append(leaving, leaving.tenure.release(0s, group.now));
    EXPECT_EQ(group.held(leaving), 0U);
    group.runFor(1s);
    EXPECT_EQ(group.held(next), 1U);
    EXPECT_EQ(group.held(leaving), 0U);
}

// Guards against minting by the next holder while tokens granted by the previous one can still be
// spent.
TEST(QuotaTenure, NextHolderWaitsForOutstandingGrants)
{
    tenure_group group(immediateClaims());
    group.zones = {{"z", 1}};
    tenure_group::member &leaving = group.add("z", "a");
    group.runFor(1s);
    tenure_group::member &next = group.add("z", "b");
    group.append(leaving, leaving.tenure.release(2s, group.now));
    group.runFor(2s);
    EXPECT_EQ(group.held(next), 0U);
    group.runFor(1s);
    EXPECT_EQ(group.held(next), 1U);
}

// Guards against a lease that ends although the log is available, and against frequent appends.
TEST(QuotaTenure, RenewsAtAQuarterOfTheLease)
{
    tenure_group group;
    group.zones = {{"z", 1}};
    tenure_group::member &member = group.add("z", "a");
    group.runFor(48h, 1min);
    EXPECT_EQ(group.held(member), 1U);
    EXPECT_GE(group.log.size(), 15U);
    EXPECT_LE(group.log.size(), 18U);
}

// Guards against repeated appends without back-off while the log is down.
TEST(QuotaTenure, FailedAppendsBackOff)
{
    tenure_group group;
    group.zones = {{"z", 1}};
    tenure_group::member &member = group.add("z", "a");
    group.read(member);
    std::size_t sent = 0;
    for (int second = 0; second < 3600; ++second, group.now += 1s) {
        for (std::size_t each = member.tenure.tick(group.now).size(); each > 0; --each, ++sent)
            member.tenure.onAppendDone(false);
    }
    EXPECT_GE(sent, 5U);
    EXPECT_LE(sent, 20U);
}

// Guards against a node that claims a held slot because retention has removed the holder's record.
TEST(QuotaTenure, NodeWaitsForLeasesInRemovedRecords)
{
    tenure_group group(immediateClaims());
    group.zones = {{"z", 1}};
    tenure_group::member &holder = group.add("z", "a");
    group.runFor(1s);
    holder.isRunning = false;
    group.firstReadableOffset = group.log.size();
    tenure_group::member &late = group.add("z", "b");
    for (int step = 0; step < 1100; ++step) {
        group.runFor(100ms);
        ASSERT_LE(group.held(holder) + group.held(late), 1U);
    }
    EXPECT_EQ(group.held(late), 1U);
    // The previous holder has read the entire log and accepts the same record.
    group.read(holder);
    EXPECT_EQ(holder.tenure.slots().front().holder, late.self);
}

// Guards against two readers that accept different chains because one of them could not read the
// start of the log: a claim that lost its race must not hide the renewals of the one that won.
TEST(QuotaTenure, ReaderWithoutTheStartFollowsTheSameChain)
{
    tenure_group group(immediateClaims());
    group.log = {claimText({"z", "x", 5}, -1), claimText({"z", "x", 5}, 0),
                 claimText({"z", "lost", 6}, 0), claimText({"z", "x", 5}, 1)};
    tenure_group::member &complete = group.add("z", "a");
    group.firstReadableOffset = 2;
    tenure_group::member &partial = group.add("z", "b");
    group.read(complete);
    group.read(partial);
    EXPECT_EQ(partial.tenure.slots().front().holder, complete.tenure.slots().front().holder);
}

// Guards against minting above the rate while the number of slots changes: new slots are claimed
// only after the held slots have announced their smaller share, and shares grow only after other
// slots have ended.
TEST(QuotaTenure, SharesNeverExceedTheFullRate)
{
    tenure_group group({.lease = 100s, .claimDelay = 1s});
    group.add("z", "a");
    group.add("z", "b");
    group.add("y", "c");
    group.runFor(30s);
    EXPECT_NEAR(group.share(), 1, 1e-9);
    group.setZones({{"z", 4}, {"y", 6}});
    group.runFor(60s);
    EXPECT_NEAR(group.share(), 1, 1e-9);
    group.setZones({{"z", 3}});
    group.runFor(2min);
    EXPECT_NEAR(group.share(), 1, 1e-9);
    EXPECT_LE(group.maxShare, 1 + 1e-9);
}

// Guards against minting in a new zone while a node still mints according to the previous
// configuration.
TEST(QuotaTenure, NewSlotsWaitForNodesWithThePreviousConfiguration)
{
    tenure_group group({.lease = 100s, .claimDelay = 1s});
    tenure_group::member &outdated = group.add("z", "a");
    tenure_group::member &added = group.add("y", "b");
    group.runFor(30s);
    const std::vector<quota_zone> before = group.zones;
    group.setZones({{"z", 4}, {"y", 6}});
    outdated.tenure.setZones(before, group.now);
    group.runFor(5min);
    EXPECT_EQ(group.held(added), 0U);
    EXPECT_LE(group.maxShare, 1 + 1e-9);
    outdated.tenure.setZones(group.zones, group.now);
    group.runFor(60s);
    EXPECT_EQ(group.held(added), 6U);
    EXPECT_NEAR(group.share(), 1, 1e-9);
}

// Guards against readers of the same log that disagree on holders or accepted records, for any
// sequence of records.
RC_GTEST_PROP(QuotaTenure, ReadersAgree, ())
{
    tenure_group group;
    tenure_group::member &one = group.add("z", "a");
    tenure_group::member &two = group.add("y", "b");
    const int count = *rc::gen::inRange(1, 30);
    for (std::int64_t offset = 0; offset < count; ++offset) {
        const std::int64_t previous = *rc::gen::inRange<std::int64_t>(-1, offset + 1);
        const std::uint64_t incarnation = *rc::gen::inRange(1, 4);
        group.log.push_back(
                claimText({"z", "n" + std::to_string(incarnation), incarnation}, previous));
        if (*rc::gen::inRange(0, 3) == 0)
            group.read(one);
        group.now += std::chrono::seconds(*rc::gen::inRange(0, 1000));
    }
    group.read(one);
    group.read(two);
    RC_ASSERT(one.tenure.slots().size() == two.tenure.slots().size());
    if (!one.tenure.slots().empty())
        RC_ASSERT(one.tenure.slots().front().holder == two.tenure.slots().front().holder);
    RC_ASSERT(one.tenure.ignoredRecords() == two.tenure.ignoredRecords());
}

// Guards against a fleet that mints nothing for an entire lease after all its nodes were restarted.
TEST(QuotaTenure, ARestartedNodeTakesOverItsSlotWithoutWaiting)
{
    tenure_options options = immediateClaims();
    options.address = "tcp://10.0.0.1:7100";
    tenure_group group(options);
    group.zones = {{"z", 1}};
    tenure_group::member &first = group.add("z", "a");
    group.runFor(2s);
    ASSERT_EQ(group.held(first), 1U);
    first.isRunning = false;
    tenure_group::member &second = group.add("z", "a");
    group.runFor(2s);
    // Tokens granted by the earlier incarnation may still be spent for grantSettleDelay.
    EXPECT_EQ(group.held(second), 0U);
    group.runFor(5s);
    EXPECT_EQ(group.held(second), 1U);
}

// Guards against a node that takes a slot from a live holder with the same name but another
// address.
TEST(QuotaTenure, ASlotOfTheSameNameAtAnotherAddressIsNotTakenOver)
{
    tenure_options options = immediateClaims();
    options.address = "tcp://10.0.0.1:7100";
    tenure_group group(options);
    group.zones = {{"z", 1}};
    group.log = {claimText({"z", "a", 99}, -1)};
    tenure_group::member &member = group.add("z", "a");
    group.runFor(90s);
    EXPECT_EQ(group.held(member), 0U);
    group.runFor(20s);
    EXPECT_EQ(group.held(member), 1U);
}
