#include "tamarackridge/src/base/seeded_random.h"

#include "tamarackridge/quota"

#include <gtest/gtest.h>

#include <algorithm>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

constexpr micro_tokens token = microTokensPerRequest;

class quota_pool : public testing::Test
{
public:
    quota_pool()
    {
        pool.setCustomers(customers);
        pool.setHolders(holders);
    }

    /// \brief Ticks the pool and collects its token requests and its reports separately.
    void exchange()
    {
        std::vector<send_peer> out;
        pool.tick(now, out);
        for (const send_peer &send : out) {
            if (const token_request *request = std::get_if<token_request>(&send.message))
                requests.emplace_back(send.node, *request);
            else if (const token_report *report = std::get_if<token_report>(&send.message))
                reports.push_back(*report);
        }
    }
    node_ref holderOf(const std::string &name) const
    {
        return *std::ranges::find(holders, name, &node_ref::name);
    }
    void respond(std::size_t index, micro_tokens amount, std::uint64_t grant = 100)
    {
        const auto &[node, request] = requests[index];
        pool.onGrant(holderOf(node), {request.sequence, grant, 2s, {{"a", amount}}}, now);
    }
    /// \brief Refuses one request, after which the pool requests tokens.
    void refuseOneRequest()
    {
        EXPECT_FALSE(pool.trySpend("a", now));
        EXPECT_TRUE(pool.expectsGrant("a", now));
        exchange();
        ASSERT_FALSE(requests.empty());
    }

    node_ref self{"z", "self", 1};
    seeded_random random{1};
    std::vector<customer_rate> customers{{"a", 100 * token, 200 * token},
                                         {"b", 100 * token, 200 * token}};
    std::vector<node_ref> holders{{"y", "far", 2}, {"z", "near", 3}, self, {"z", "close", 4}};
    token_pool pool{self, {}, nullptr, random};
    time_point now = time_point(1h);
    std::vector<std::pair<std::string, token_request>> requests;
    std::vector<token_report> reports;
};

} // namespace

// Guards against control traffic from nodes without demand.
TEST_F(quota_pool, IdlePoolSendsNothing)
{
    exchange();
    EXPECT_TRUE(requests.empty());
    EXPECT_EQ(pool.nextTick(), time_point::max());
}

// Guards against requesting tokens from holders in other zones, or from the node itself, while
// holders in the node's zone have tokens.
TEST_F(quota_pool, RequestsFromItsOwnZoneFirst)
{
    refuseOneRequest();
    for (const auto &[node, request] : requests)
        EXPECT_EQ(holderOf(node).zone, self.zone) << node;
    respond(0, token);
    EXPECT_TRUE(pool.retrySpend("a", now));
}

// Guards against spending tokens after the holder considers them expired: the lease starts when the
// request is sent, not when the grant arrives.
TEST_F(quota_pool, LeaseStartsWithTheRequest)
{
    refuseOneRequest();
    const time_point sent = now;
    now += 150ms;
    respond(0, 5 * token);
    EXPECT_TRUE(pool.retrySpend("a", now));
    now = sent + 2s;
    EXPECT_FALSE(pool.retrySpend("a", now));
    EXPECT_EQ(pool.held("a", now), 0);
}

// Guards against spending granted tokens that expired while the node was paused.
TEST_F(quota_pool, GrantReceivedAfterItsLeaseCannotBeSpent)
{
    refuseOneRequest();
    now += 3s;
    respond(0, 5 * token);
    EXPECT_FALSE(pool.retrySpend("a", now));
}

// Guards against counting the tokens of a repeated grant twice, and against accepting a grant that
// was not requested.
TEST_F(quota_pool, RepeatedAndUnrequestedGrantsAreDropped)
{
    refuseOneRequest();
    respond(0, 2 * token);
    respond(0, 2 * token);
    EXPECT_EQ(pool.held("a", now), 2 * token);
    pool.onGrant(holderOf("far"), {requests[0].second.sequence, 7, 2s, {{"a", token}}}, now);
    pool.onGrant(holderOf("near"), {12345, 7, 2s, {{"a", token}}}, now);
    EXPECT_EQ(pool.held("a", now), 2 * token);
}

// Guards against accepting a grant to an earlier incarnation of the node, whose lease started
// before this incarnation sent its request.
TEST_F(quota_pool, SequencesDifferBetweenIncarnations)
{
    refuseOneRequest();
    token_pool next{self, {}, nullptr, random};
    next.setCustomers(customers);
    next.setHolders(holders);
    next.trySpend("a", now);
    std::vector<send_peer> out;
    next.tick(now, out);
    respond(0, token);
    next.onGrant(holderOf(requests[0].first),
                 {requests[0].second.sequence, 100, 2s, {{"a", token}}}, now);
    EXPECT_EQ(next.held("a", now), 0);
}

// Guards against a request that waits for a lost response although other holders have tokens.
TEST_F(quota_pool, LostResponseLeadsToARequestToAnotherHolder)
{
    refuseOneRequest();
    now += 15ms;
    EXPECT_TRUE(pool.expectsGrant("a", now));
    EXPECT_FALSE(pool.trySpend("a", now));
    exchange();
    EXPECT_EQ(requests.back().first, "far");
}

// Guards against waiting for a grant when no holder has tokens.
TEST_F(quota_pool, NoGrantIsExpectedFromEmptyHolders)
{
    EXPECT_FALSE(pool.expectsGrant("unknown", now));
    pool.trySpend("a", now);
    for (int round = 0; round < 4; ++round) {
        exchange();
        for (std::size_t index = 0; index < requests.size(); ++index)
            respond(index, 0);
        requests.clear();
    }
    EXPECT_FALSE(pool.trySpend("a", now));
    EXPECT_FALSE(pool.expectsGrant("a", now));
    EXPECT_TRUE(pool.expectsGrant("b", now));
}

// Guards against holders that keep spent tokens as outstanding, and against nodes that keep tokens
// which they do not need.
TEST_F(quota_pool, ReportsSpentAndReturnsTheRest)
{
    refuseOneRequest();
    respond(0, 3 * token);
    EXPECT_TRUE(pool.retrySpend("a", now));
    now += 2s;
    now -= 400ms;
    exchange();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].grant, 100U);
    EXPECT_EQ(reports[0].spent.front().amount, token);
    EXPECT_EQ(reports[0].returned.front().amount, 2 * token);
    EXPECT_EQ(pool.held("a", now), 0);
}

// Guards against losing unspent tokens in a graceful shutdown.
TEST_F(quota_pool, ShutdownReturnsEverything)
{
    refuseOneRequest();
    respond(0, 3 * token);
    std::vector<send_peer> out;
    pool.returnAll(now, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<token_report>(out[0].message).returned.front().amount, 3 * token);
    EXPECT_FALSE(pool.retrySpend("a", now));
}

// Guards against tokens that are assigned to another customer when the list of customers changes.
TEST_F(quota_pool, CustomersKeepTheirTokens)
{
    refuseOneRequest();
    respond(0, 3 * token);
    const std::vector<customer_rate> next{{"c", token, token}, customers[0]};
    pool.setCustomers(next);
    EXPECT_EQ(pool.held("a", now), 3 * token);
    EXPECT_EQ(pool.held("c", now), 0);
    EXPECT_FALSE(pool.trySpend("b", now));
}

// Guards against a node that sends messages to itself to use the tokens of its own slots.
TEST_F(quota_pool, TokensOfHeldSlotsAreUsedWithoutMessages)
{
    slot_holder local(random);
    local.setCustomers(customers, now);
    const std::vector<held_slot> slots{{{"z", 0}, 4, now + 12h}};
    local.setSlots(slots, now);
    token_pool drawing{self, {}, &local, random};
    drawing.setCustomers(customers);
    drawing.setHolders(holders);
    for (int step = 0; step < 100; ++step) {
        now += 50ms;
        EXPECT_TRUE(drawing.trySpend("a", now));
    }
    EXPECT_EQ(drawing.bytesUsed(), 0);
}

// Guards against overloading a few holders with the token requests of many nodes.
TEST(QuotaPoolOptions, BudgetFollowsTheNumberOfNodesPerSlot)
{
    EXPECT_EQ(pool_options::forFleet(16, 16).bytesPerSecond, 8000);
    EXPECT_EQ(pool_options::forFleet(5800, 580).bytesPerSecond, 800);
}
