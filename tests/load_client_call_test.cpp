#include "load/client_call.h"
#include "load/id_pool.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::load;

namespace {

load_customer customerWith(retry_policy policy)
{
    load_customer customer;
    customer.retry = policy;
    return customer;
}

send_result response(long status, const char *error = "")
{
    send_result result;
    result.responseReceived = true;
    result.status = status;
    result.error = error;
    return result;
}

const load_customer retryingCustomer = customerWith({retry_mode::immediate, 2, {}});

} // namespace

// Guards against a write that is abandoned, or resent without its id, after a 428 response.
TEST(LoadClientCall, IdOf428ResponseIsUsedAtOnceAndIsNotARetry)
{
    const load_customer customer = customerWith({});
    seeded_random random(1);
    client_call call(customer, {});
    send_result required = response(428, "request_id_required");
    required.issuedId = "id-1";
    EXPECT_EQ(call.sendEnded(required, duration(1), random), duration::zero());
    EXPECT_EQ(call.requestId, "id-1");
    // A second 428 for a request that already has an id finishes it.
    EXPECT_EQ(call.sendEnded(required, duration(2), random), std::nullopt);
}

// Guards against more retries than the policy allows, and against retries of final responses.
TEST(LoadClientCall, RetriesOnlyRetryableResponsesUpToTheLimit)
{
    seeded_random random(1);
    client_call failing(retryingCustomer, {});
    EXPECT_TRUE(failing.sendEnded(response(503, "overloaded"), duration(1), random));
    EXPECT_TRUE(failing.sendEnded({}, duration(2), random));
    EXPECT_FALSE(failing.sendEnded({}, duration(3), random));
    EXPECT_EQ(failing.record.outcome, request_outcome::no_response);

    client_call unknown(retryingCustomer, {});
    EXPECT_FALSE(unknown.sendEnded(response(502, "outcome_unknown"), duration(1), random));
    client_call malformed(retryingCustomer, {});
    EXPECT_FALSE(malformed.sendEnded(response(404), duration(1), random));
}

// Guards against backoff delays that do not grow.
TEST(LoadClientCall, BackoffDoublesWithJitterOfOneHalf)
{
    const load_customer customer =
            customerWith({retry_mode::backoff, 3, std::chrono::milliseconds(100)});
    seeded_random random(1);
    client_call call(customer, {});
    for (int maxDelayMs : {100, 200, 400}) {
        const std::optional<duration> retryDelay =
                call.sendEnded(response(503), duration(1), random);
        ASSERT_TRUE(retryDelay);
        EXPECT_LE(*retryDelay, std::chrono::milliseconds(maxDelayMs));
        EXPECT_GE(*retryDelay, std::chrono::milliseconds(maxDelayMs / 2));
    }
}

// Guards against counting a 2xx response with another request's body as goodput.
TEST(LoadClientCall, WrongBodyIsMismatched)
{
    seeded_random random(1);
    client_call call(retryingCustomer, {});
    EXPECT_FALSE(call.sendEnded(response(200), duration(1), random));
    EXPECT_EQ(call.record.outcome, request_outcome::mismatched);
}

// Guards against a busy loop of id requests to a node that refuses them.
TEST(LoadIdPool, RequestsIdsAgainOnlyAfterADelay)
{
    id_pool pool;
    EXPECT_TRUE(pool.needsBatch(std::chrono::seconds(1)));
    pool.batchRequested();
    EXPECT_FALSE(pool.needsBatch(std::chrono::seconds(1)));
    pool.handleBatchResponse("no JSON", 0, std::chrono::seconds(1));
    EXPECT_FALSE(pool.needsBatch(std::chrono::seconds(1)));
    EXPECT_TRUE(pool.needsBatch(std::chrono::seconds(2)));
    pool.handleBatchResponse(R"({"ids":["a","b"]})", 3, std::chrono::seconds(2));
    const std::optional<id_pool::issued_id> first = pool.take();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->id, "a");
    EXPECT_EQ(first->target, 3U);
}
