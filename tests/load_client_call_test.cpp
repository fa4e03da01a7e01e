#include "load/client_call.h"
#include "load/id_pool.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::load;

namespace {

load_customer customerWith(retry_habit habit)
{
    load_customer customer;
    customer.retry = habit;
    return customer;
}

send_result response(long status, const char *error = "")
{
    send_result result;
    result.answered = true;
    result.status = status;
    result.error = error;
    return result;
}

const load_customer patient = customerWith({retry_mode::immediate, 2, {}});

} // namespace

// Guards against a write that is given up, or sent without its id, after a 428 answer.
TEST(LoadClientCall, IdOfA428AnswerIsUsedAtOnceAndIsNoRetry)
{
    const load_customer customer = customerWith({});
    seeded_random random(1);
    client_call call(customer, {});
    send_result required = response(428, "request_id_required");
    required.issuedId = "id-1";
    EXPECT_EQ(call.sendEnded(required, duration(1), random), duration::zero());
    EXPECT_EQ(call.requestId, "id-1");
    // A second 428 for a request that has an id ends it.
    EXPECT_EQ(call.sendEnded(required, duration(2), random), std::nullopt);
}

// Guards against retries beyond the habit, or of answers that are final.
TEST(LoadClientCall, RetriesOnlyWhatMaySucceedAndOnlyAsOftenAsPlanned)
{
    seeded_random random(1);
    client_call failing(patient, {});
    EXPECT_TRUE(failing.sendEnded(response(503, "overloaded"), duration(1), random));
    EXPECT_TRUE(failing.sendEnded({}, duration(2), random));
    EXPECT_FALSE(failing.sendEnded({}, duration(3), random));
    EXPECT_EQ(failing.record.outcome, request_outcome::no_answer);

    client_call unknown(patient, {});
    EXPECT_FALSE(unknown.sendEnded(response(502, "outcome_unknown"), duration(1), random));
    client_call malformed(patient, {});
    EXPECT_FALSE(malformed.sendEnded(response(404), duration(1), random));
}

// Guards against backoff pauses that do not grow.
TEST(LoadClientCall, BackoffDoublesWithJitterOfOneHalf)
{
    const load_customer customer =
            customerWith({retry_mode::backoff, 3, std::chrono::milliseconds(100)});
    seeded_random random(1);
    client_call call(customer, {});
    for (int longest : {100, 200, 400}) {
        const std::optional<duration> pause = call.sendEnded(response(503), duration(1), random);
        ASSERT_TRUE(pause);
        EXPECT_LE(*pause, std::chrono::milliseconds(longest));
        EXPECT_GE(*pause, std::chrono::milliseconds(longest / 2));
    }
}

// Guards against a 2xx answer with another request's body that counts as goodput.
TEST(LoadClientCall, WrongBodyIsMismatched)
{
    seeded_random random(1);
    client_call call(patient, {});
    EXPECT_FALSE(call.sendEnded(response(200), duration(1), random));
    EXPECT_EQ(call.record.outcome, request_outcome::mismatched);
}

// Guards against a busy loop of id requests against a node that refuses them.
TEST(LoadIdPool, AsksAgainOnlyAfterAPause)
{
    id_pool pool;
    EXPECT_TRUE(pool.wantsBatch(std::chrono::seconds(1)));
    pool.batchAsked();
    EXPECT_FALSE(pool.wantsBatch(std::chrono::seconds(1)));
    pool.batchAnswered("no JSON", 0, std::chrono::seconds(1));
    EXPECT_FALSE(pool.wantsBatch(std::chrono::seconds(1)));
    EXPECT_TRUE(pool.wantsBatch(std::chrono::seconds(2)));
    pool.batchAnswered(R"({"ids":["a","b"]})", 3, std::chrono::seconds(2));
    const std::optional<id_pool::issued_id> first = pool.take();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->id, "a");
    EXPECT_EQ(first->target, 3U);
}
