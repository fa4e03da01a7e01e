#include "fakes/rate_oracle.h"
#include "tamarackridge/src/base/seeded_random.h"

#include "tamarackridge/quota"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::fakes;
using namespace std::chrono_literals;

namespace {

constexpr micro_tokens token = microTokensPerRequest;
const node_ref caller{"z", "caller", 9};

/// \brief A node that holds one of four slots: it mints 25 tokens per second, up to 50, for
/// customer `a`.
class quota_holder : public testing::Test
{
public:
    quota_holder()
    {
        holder.setCustomers(customers, now);
        holder.setSlots(slots, now);
    }

    token_grant requestTokens(micro_tokens amount)
    {
        return holder.grant(caller, {++sequence, {{"a", amount}}}, now);
    }
    micro_tokens granted(const token_grant &grant)
    {
        return grant.granted.empty() ? 0 : grant.granted.front().amount;
    }
    void report(std::uint64_t grant, micro_tokens spent, micro_tokens returned)
    {
        holder.onReport(caller, {grant, {{"a", spent}}, {{"a", returned}}}, now);
    }

    seeded_random random{1};
    slot_holder holder{random};
    time_point now = time_point(1h);
    std::uint64_t sequence = 0;
    std::vector<customer_rate> customers{{"a", 100 * token, 200 * token}};
    std::vector<held_slot> slots{{{"z", 0}, 4, now + 12h}};
};

} // namespace

// Guards against a new holder of a slot that grants tokens which the previous holder has already
// granted.
TEST_F(quota_holder, StartsEmpty)
{
    EXPECT_EQ(granted(requestTokens(token)), 0);
    now += 1s;
    // 0.5% less than 25 tokens, so that a fast clock does not mint above the rate.
    EXPECT_EQ(holder.available("a", now), 24'875'000);
}

// Guards against a bucket that exceeds its share of the burst, and against minting tokens while it
// is full.
TEST_F(quota_holder, OutstandingGrantsCountAgainstTheBurst)
{
    now += 10s;
    const token_grant grant = requestTokens(1000 * token);
    EXPECT_EQ(granted(grant), 50 * token);
    now += 1s;
    EXPECT_EQ(holder.available("a", now), 0);
    report(grant.grant, 20 * token, 0);
    EXPECT_EQ(holder.available("a", now), 0);
    now += 10s;
    EXPECT_EQ(holder.available("a", now), 50 * token);
}

// Guards against minting retroactively, after a grant has expired, for the time in which it filled
// the bucket: its tokens may have been spent at the last moment.
TEST_F(quota_holder, ExpiredGrantLeavesAnEmptyBucket)
{
    now += 10s;
    requestTokens(50 * token);
    now += 2020ms;
    EXPECT_EQ(holder.available("a", now), 0);
    now += 1s;
    EXPECT_EQ(holder.available("a", now), 24'875'000);
}

// Guards against a bucket that stays low because no request for tokens arrived when a grant
// expired.
TEST_F(quota_holder, MintingResumesWhenAGrantExpires)
{
    now += 10s;
    requestTokens(50 * token);
    now += 3020ms;
    EXPECT_EQ(holder.available("a", now), 24'875'000);
}

// Guards against putting tokens back twice after a repeated or late report, and against applying
// reports of nodes that did not receive the grant.
TEST_F(quota_holder, ReportsAreIdempotent)
{
    now += 10s;
    const token_grant grant = requestTokens(50 * token);
    holder.onReport({"z", "other", 1}, {grant.grant, {}, {{"a", 50 * token}}}, now);
    EXPECT_EQ(holder.available("a", now), 0);
    for (int copy = 0; copy < 3; ++copy)
        report(grant.grant, 30 * token, 20 * token);
    report(grant.grant, 10 * token, 50 * token);
    EXPECT_EQ(holder.available("a", now), 20 * token);
    report(grant.grant + 1, 0, 10 * token);
    report(grant.grant - 1, 0, 10 * token);
    EXPECT_EQ(holder.available("a", now), 20 * token);
}

// Guards against applying a report that was addressed to an earlier incarnation of a restarted
// holder.
TEST_F(quota_holder, GrantNumbersDifferBetweenIncarnations)
{
    now += 10s;
    slot_holder second(random);
    second.setCustomers(customers, now - 10s);
    second.setSlots(slots, now - 10s);
    const token_grant one = requestTokens(token);
    const token_grant two = second.grant(caller, {1, {{"a", token}}}, now);
    EXPECT_NE(one.grant, two.grant);
}

// Guards against applying a lowered rate or burst late, and against minting tokens for past time
// after the rate or burst was raised.
TEST_F(quota_holder, NewRatesApplyImmediatelyAndNotRetroactively)
{
    now += 10s;
    const std::vector<customer_rate> lower{{"a", 10 * token, 40 * token}};
    holder.setCustomers(lower, now);
    EXPECT_EQ(holder.available("a", now), 10 * token);
    now += 100s;
    holder.setCustomers(customers, now);
    EXPECT_EQ(holder.available("a", now), 10 * token);
    holder.setCustomers({}, now);
    EXPECT_EQ(holder.available("a", now), 0);
    now += 10s;
    holder.setCustomers(customers, now);
    EXPECT_EQ(holder.available("a", now), 0);
}

// Guards against a holder that still mints or grants tokens when it resumes after its lease has
// ended.
TEST_F(quota_holder, StopsAtTheEndOfItsLease)
{
    now = slots.front().until + 1h;
    EXPECT_EQ(granted(requestTokens(token)), 0);
    EXPECT_FALSE(holder.take("a", token, now));
}

// Guards against granted tokens that can be spent after the slot's lease has ended, when another
// node may already mint for the slot.
TEST_F(quota_holder, NoGrantOutlivesTheSlotLease)
{
    now = slots.front().until - 10s;
    while (now < slots.front().until) {
        const token_grant grant = requestTokens(token);
        if (granted(grant) > 0) {
            EXPECT_LE(now + internal::extendForClockError(grant.lease), slots.front().until);
        }
        now += 10ms;
    }
}

// Guards against keeping the tokens of a slot that the node no longer holds.
TEST_F(quota_holder, TokensOfALostSlotAreRemoved)
{
    const std::vector<held_slot> two{slots.front(), {{"z", 1}, 4, now + 12h}};
    holder.setSlots(two, now);
    now += 10s;
    EXPECT_EQ(holder.available("a", now), 100 * token);
    holder.setSlots(slots, now);
    EXPECT_EQ(holder.available("a", now), 50 * token);
    holder.setSlots({}, now);
    EXPECT_EQ(holder.available("a", now), 0);
    holder.setSlots(slots, now);
    EXPECT_EQ(holder.available("a", now), 0);
}

// Guards against a customer with a low rate that never receives a token because fractions are
// rounded down.
TEST_F(quota_holder, FractionsOfMicroTokensAreKept)
{
    const micro_tokens rate = token / 60;
    const std::vector<customer_rate> slow{{"a", rate, token * 4}};
    holder.setCustomers(slow, now);
    for (int call = 0; call < 2'000'000; ++call, now += 10us)
        holder.available("a", now);
    const double expected = 20.0 * static_cast<double>(rate) / 4 * 0.995;
    EXPECT_NEAR(static_cast<double>(holder.available("a", now)), expected, 2);
}

// Guards against sequences of grants, reports and expiries in which the tokens exceed the burst or
// the admitted requests exceed the rate.
RC_GTEST_PROP(QuotaHolderProperty, NeverExceedsBurstOrRate, ())
{
    seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
    slot_holder holder(random);
    time_point now(1h);
    const std::vector<customer_rate> customers{{"a", 10 * token, 20 * token}};
    const std::vector<held_slot> slots{{{"z", 0}, 1, now + 5min}};
    holder.setCustomers(customers, now);
    holder.setSlots(slots, now);
    rate_oracle oracle(10, 20);
    std::vector<std::pair<token_grant, time_point>> grants;
    for (int step = 0; step < 300; ++step) {
        now += std::chrono::milliseconds(random.below(1500));
        if (random.below(2) == 0)
            grants.emplace_back(holder.grant(caller, {1, {{"a", 3 * token}}}, now), now);
        if (!grants.empty() && random.below(2) == 0) {
            // The caller spends tokens for complete requests within the lease and may or may not
            // report them.
            const std::size_t index = random.below(grants.size());
            const auto [grant, at] = grants[index];
            grants.erase(grants.begin() + static_cast<std::ptrdiff_t>(index));
            const micro_tokens amount = grant.granted.empty() ? 0 : grant.granted[0].amount;
            const micro_tokens spent = now < at + 2s ? amount / token * token : 0;
            for (micro_tokens each = 0; each < spent; each += token)
                oracle.onAdmitted(now);
            if (random.below(2) == 0)
                holder.onReport(caller, {grant.grant, {{"a", spent}}, {{"a", amount - spent}}},
                                now);
        }
        RC_ASSERT(holder.totalTokens("a", now) <= 20 * token);
        RC_ASSERT(oracle.excess() <= 1e-6);
    }
}
