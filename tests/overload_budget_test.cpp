#include "tamarackridge/overload"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

/// Runs a request at one level of a call chain: the onward calls are made and each is repeated as
/// often as the budget allows, answers are lost at random.
/// \returns the retries made by this call and everything below it; \a budget keeps the rest.
std::uint32_t runChain(attempt_budget &budget, int depth)
{
    std::uint32_t retries = 0;
    std::uint32_t runs = 0;
    for (std::uint32_t part = budget.takeShare(); part > 0; part = budget.takeShare()) {
        retries += runs++ == 0 ? 0 : 1;
        onward_attempts onward(part - 1);
        for (std::uint64_t call = 0; depth > 0 && call < 2; ++call) {
            while (const std::optional<onward_call_budget> opened = onward.open(call)) {
                attempt_budget below(opened->attempts);
                retries += (opened->retry ? 1 : 0) + runChain(below, depth - 1);
                if (*rc::gen::arbitrary<bool>())
                    onward.close(*opened, below.remaining());
            }
        }
        if (*rc::gen::arbitrary<bool>())
            budget.returnUnused(part, onward.unused());
    }
    return retries;
}

} // namespace

// Guards against retries that multiply from level to level: with three tries on each of four levels
// one request would otherwise become 81 runs of the lowest service.
RC_GTEST_PROP(AttemptBudget, RetriesOfAWholeChainStayBelowTheRoutesAttempts, ())
{
    const std::uint32_t attempts = *rc::gen::inRange(1U, 12U);
    attempt_budget budget(attempts);
    RC_ASSERT(runChain(budget, *rc::gen::inRange(0, 4)) <= attempts - 1);
}

// Guards against a peer that reports more unused attempts than it was given.
TEST(AttemptBudget, GiveBackIsBoundedByThePart)
{
    attempt_budget budget(5);
    const std::uint32_t part = budget.takeShare();
    EXPECT_EQ(part, 3U);
    budget.returnUnused(part, 1000);
    EXPECT_EQ(budget.remaining(), 5U);
}

// Guards against a request that cannot be tried again because its whole budget was in a lost part.
TEST(AttemptBudget, LostPartLeavesAttemptsForARetry)
{
    attempt_budget budget(3);
    EXPECT_EQ(budget.takeShare(), 2U);
    EXPECT_EQ(budget.takeShare(), 1U);
    EXPECT_EQ(budget.takeShare(), 0U);
}

// Guards against charging normal work, and against a service that repeats a call for nothing.
TEST(AttemptBudget, OnlyRepeatedOnwardCallsAreCharged)
{
    onward_attempts onward(0);
    EXPECT_EQ(onward.open(7)->attempts, 1U);
    EXPECT_EQ(onward.open(8)->attempts, 1U);
    EXPECT_FALSE(onward.open(7).has_value());
}

// Guards against a retry storm across requests: retries stay a tenth of first attempts plus floor.
RC_GTEST_PROP(RetryBudget, RetriesAreATenthOfFirstAttemptsPlusTheFloor, ())
{
    const int firstAttempts = *rc::gen::inRange(0, 5000);
    const duration gap = *rc::gen::inRange(1, 20) * 1ms;
    retry_budget budget;
    std::int64_t retries = 0;
    time_point now(1h);
    for (int i = 0; i < firstAttempts; ++i, now += gap) {
        budget.onFirstAttempt(now);
        while (budget.tryRetry(now))
            ++retries;
    }
    const double floor = 1 + std::chrono::duration<double>(firstAttempts * gap).count();
    RC_ASSERT(static_cast<double>(retries) <= firstAttempts * 0.1 + floor);
    RC_ASSERT(static_cast<double>(retries) >= firstAttempts * 0.1 - 1);
}
