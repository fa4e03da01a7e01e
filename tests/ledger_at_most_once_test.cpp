#include "tamarackridge/ledger"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace tamarackridge;
using namespace std::chrono_literals;
using verdict = ledger_decision::verdict;

namespace {

const node_ref owner{"a", "node1", 0x11};
const node_ref successor{"a", "node2", 0x22};
constexpr std::uint64_t digest = 77;

http_response invoiceResponse()
{
    return {201, {{"Location", "/invoices/1"}}, std::make_shared<const std::string>("invoice 1")};
}

class ledger_at_most_once : public ::testing::Test
{
protected:
    request_id issue(time_point now) { return *request_id::parse(m_ledger.issue(now)); }

    seeded_random m_random{1};
    time_point m_start{};
    ledger m_ledger{owner, {}, m_random, m_start};
};

} // namespace

// Guards against a resend that runs a write a second time while the first send is still running.
TEST_F(ledger_at_most_once, ResendWaitsForTheRunningRequest)
{
    const request_id id = issue(m_start);
    EXPECT_EQ(m_ledger.begin(id, "airline", digest, m_start).kind, verdict::run);
    EXPECT_EQ(m_ledger.begin(id, "airline", digest, m_start + 1s).kind, verdict::wait);
}

// Guards against a write that runs again because its response was lost on the way to the caller
// and the caller sent it again.
TEST_F(ledger_at_most_once, ResendOfAnAnsweredRequestGetsTheSameResponse)
{
    const request_id id = issue(m_start);
    m_ledger.answered(m_ledger.begin(id, "airline", digest, m_start).key, invoiceResponse());
    const ledger_decision resend = m_ledger.begin(id, "airline", digest, m_start + 1s);
    EXPECT_EQ(resend.kind, verdict::replay);
    EXPECT_EQ(resend.response.status, 201);
    EXPECT_EQ(bodyView(resend.response.body), "invoice 1");
}

// Guards against a delayed earlier send that runs after the caller has received `not-run`.
TEST_F(ledger_at_most_once, ARefusalIsFinalForItsId)
{
    const request_id id = issue(m_start);
    m_ledger.refused(m_ledger.begin(id, "airline", digest, m_start).key);
    const ledger_decision late = m_ledger.begin(id, "airline", digest, m_start + 1s);
    EXPECT_EQ(late.kind, verdict::refuse);
    EXPECT_EQ(late.error, error_kind::request_id_refused);
    EXPECT_EQ(late.state, run_state::not_run);
    EXPECT_EQ(m_ledger.begin(issue(m_start), "airline", digest, m_start + 1s).kind, verdict::run);
}

// Guards against a second run after the backend connection broke when bytes of the request had
// already been sent.
TEST_F(ledger_at_most_once, AnUnknownOutcomeStaysUnknown)
{
    const request_id id = issue(m_start);
    const ledger_key key = m_ledger.begin(id, "airline", digest, m_start).key;
    m_ledger.outcomeUnknown(key);
    m_ledger.refused(key);
    const ledger_decision resend = m_ledger.begin(id, "airline", digest, m_start + 1s);
    EXPECT_EQ(resend.kind, verdict::refuse);
    EXPECT_EQ(resend.error, error_kind::outcome_unknown);
}

// Guards against a replacement node that has no ledger of its predecessor and runs a request again
// that the predecessor ran, or reports it as `not-run`.
TEST_F(ledger_at_most_once, AnotherIncarnationReportsUnknown)
{
    const request_id id = issue(m_start);
    ledger replaced{{"a", "node1", 0x12}, {}, m_random, m_start};
    const ledger_decision decision = replaced.begin(id, "airline", digest, m_start + 1s);
    EXPECT_EQ(decision.kind, verdict::refuse);
    EXPECT_EQ(responseFor(decision.error).state, run_state::unknown);
}

// Guards against running an id again whose ledger record may already have been dropped.
TEST_F(ledger_at_most_once, AnExpiredIdNeverRuns)
{
    const request_id id = issue(m_start);
    const ledger_decision decision = m_ledger.begin(id, "airline", digest, m_start + 10min);
    EXPECT_EQ(decision.error, error_kind::request_id_expired);
    EXPECT_EQ(responseFor(decision.error).state, run_state::unknown);
}

// Guards against ids forged by callers, and against one customer getting the response of another.
TEST_F(ledger_at_most_once, ForgedAndForeignIdsAreRefused)
{
    request_id id = issue(m_start);
    m_ledger.answered(m_ledger.begin(id, "airline", digest, m_start).key, invoiceResponse());
    EXPECT_EQ(m_ledger.begin(id, "other", digest, m_start).error, error_kind::request_id_reused);
    EXPECT_EQ(m_ledger.begin(id, "airline", digest + 1, m_start).error,
              error_kind::request_id_reused);
    id.sequence += 1;
    EXPECT_EQ(m_ledger.begin(id, "airline", digest, m_start).error, error_kind::request_id_invalid);
}

// Guards against a planned stop that loses ledger records or after which two nodes decide on the
// same ids.
TEST_F(ledger_at_most_once, HandoverTransfersTheDecision)
{
    const request_id answeredId = issue(m_start);
    const request_id runningId = issue(m_start);
    const request_id unusedId = issue(m_start);
    m_ledger.answered(m_ledger.begin(answeredId, "airline", digest, m_start).key,
                      invoiceResponse());
    m_ledger.begin(runningId, "airline", digest, m_start);
    ledger next{successor, {}, m_random, m_start + 4s};
    for (const ledger_handover &handover : m_ledger.handOver(m_start + 5s))
        next.takeOver(handover, m_start + 5s);

    const ledger_decision late = m_ledger.begin(unusedId, "airline", digest, m_start + 6s);
    EXPECT_EQ(late.kind, verdict::refuse);
    EXPECT_EQ(responseFor(late.error).state, run_state::unknown);
    EXPECT_EQ(next.begin(answeredId, "airline", digest, m_start + 6s).kind, verdict::replay);
    EXPECT_EQ(next.begin(runningId, "airline", digest, m_start + 6s).error,
              error_kind::outcome_unknown);
    EXPECT_EQ(next.begin(unusedId, "airline", digest, m_start + 6s).kind, verdict::run);
}

// Guards against a rolling restart in which the ids of a node are lost when its successor stops
// too.
TEST_F(ledger_at_most_once, HandedOverIdsAreHandedOverAgain)
{
    const request_id used = issue(m_start);
    const request_id unused = issue(m_start);
    m_ledger.answered(m_ledger.begin(used, "airline", digest, m_start).key, invoiceResponse());
    ledger second{successor, {}, m_random, m_start};
    for (const ledger_handover &handover : m_ledger.handOver(m_start + 5s))
        second.takeOver(handover, m_start + 5s);
    ledger third{{"a", "node3", 0x33}, {}, m_random, m_start};
    for (const ledger_handover &handover : second.handOver(m_start + 60s))
        third.takeOver(handover, m_start + 60s);
    EXPECT_EQ(third.begin(used, "airline", digest, m_start + 61s).kind, verdict::replay);
    EXPECT_EQ(third.begin(unused, "airline", digest, m_start + 61s).kind, verdict::run);
    third.expire(m_start + 15min);
    EXPECT_FALSE(third.owns(owner.incarnation));
}

// Guards against memory use that grows with every write.
TEST_F(ledger_at_most_once, RecordsAndResponsesAreBounded)
{
    ledger small{owner, {10min, 4, 20}, m_random, m_start};
    for (int index = 0; index < 6; ++index) {
        const request_id id = *request_id::parse(small.issue(m_start));
        const ledger_decision decision = small.begin(id, "airline", digest, m_start);
        EXPECT_EQ(decision.kind == verdict::run, index < 4);
        EXPECT_EQ(decision.state, run_state::unknown);
        small.answered(decision.key, invoiceResponse());
        EXPECT_LE(small.responseBytes(), 20U);
    }
    small.expire(m_start + 10min);
    EXPECT_EQ(small.size(), 0U);
    EXPECT_EQ(small.responseBytes(), 0U);
}

// Guards against an order of sends, outcomes and handovers in which one id runs twice.
RC_GTEST_PROP(LedgerProperty, AnIdRunsAtMostOnce, ())
{
    seeded_random random{3};
    time_point now{};
    ledger first{owner, {}, random, now};
    ledger second{successor, {}, random, now};
    const request_id id = *request_id::parse(first.issue(now));
    int runs = 0;
    bool running = false;
    ledger_key key;
    bool handedOver = false;
    const auto steps = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 6));
    for (int step : steps) {
        now += 100ms;
        ledger &decider = handedOver ? second : first;
        if (step == 0) {
            for (ledger *candidate : {&first, &second}) {
                const ledger_decision decision = candidate->begin(id, "c", digest, now);
                if (decision.kind != verdict::run)
                    continue;
                RC_ASSERT(runs == 0);
                ++runs;
                key = decision.key;
                running = true;
            }
        } else if (step == 1 && running) {
            decider.refused(key);
            running = false;
        } else if (step == 2 && running) {
            decider.answered(key, invoiceResponse());
            running = false;
        } else if (step == 3 && running) {
            decider.outcomeUnknown(key);
            running = false;
        } else if (step == 4 && !handedOver && !running) {
            for (const ledger_handover &handover : first.handOver(now))
                second.takeOver(handover, now);
            handedOver = true;
        }
    }
}
