#include "tamarackridge/overload"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

/// Runs a request at one level of a call chain. Makes its onward calls and repeats each of them as
/// often as the budget allows; responses are lost at random.
/// \returns the retries made at this level and below; \a budget keeps the attempts left.
std::uint32_t runChain(attempt_budget &budget, int depth)
{
    std::uint32_t retries = 0;
    std::uint32_t runs = 0;
    for (std::uint32_t share = budget.takeShare(); share > 0; share = budget.takeShare()) {
        retries += runs++ == 0 ? 0 : 1;
        onward_attempts onward(share - 1);
        for (std::uint64_t call = 0; depth > 0 && call < 2; ++call) {
            while (const std::optional<onward_call_budget> opened = onward.open(call)) {
                attempt_budget nested(opened->attempts);
                retries += (opened->retry ? 1 : 0) + runChain(nested, depth - 1);
                if (*rc::gen::arbitrary<bool>())
                    onward.close(*opened, nested.remaining());
            }
        }
        if (*rc::gen::arbitrary<bool>())
            budget.returnUnused(share, onward.unused());
    }
    return retries;
}

} // namespace

// Guards against retries that multiply from level to level: with three attempts on each of four
// levels, one request would cause 81 runs of the lowest service.
RC_GTEST_PROP(AttemptBudget, RetriesOfACallChainStayBelowTheAttemptsOfTheRoute, ())
{
    const std::uint32_t attempts = *rc::gen::inRange(1U, 12U);
    attempt_budget budget(attempts);
    RC_ASSERT(runChain(budget, *rc::gen::inRange(0, 4)) <= attempts - 1);
}

// Guards against a budget that grows because a peer reports more unused attempts than it received.
TEST(AttemptBudget, ReturnedAttemptsAreBoundedByTheShare)
{
    attempt_budget budget(5);
    const std::uint32_t share = budget.takeShare();
    EXPECT_EQ(share, 3U);
    budget.returnUnused(share, 1000);
    EXPECT_EQ(budget.remaining(), 5U);
}

// Guards against a request that cannot be retried because a lost dispatch held its complete budget.
TEST(AttemptBudget, LostShareLeavesAttemptsForARetry)
{
    attempt_budget budget(3);
    EXPECT_EQ(budget.takeShare(), 2U);
    EXPECT_EQ(budget.takeShare(), 1U);
    EXPECT_EQ(budget.takeShare(), 0U);
}

// Guards against charging the first call to each target, and against repeated calls that are not
// charged.
TEST(AttemptBudget, OnlyRepeatedOnwardCallsAreCharged)
{
    onward_attempts onward(0);
    EXPECT_EQ(onward.open(7)->attempts, 1U);
    EXPECT_EQ(onward.open(8)->attempts, 1U);
    EXPECT_FALSE(onward.open(7).has_value());
}

// Guards against a retry storm across many requests, and against refusing retries that the budget
// allows: retries stay at a tenth of the first attempts plus the minimum rate.
RC_GTEST_PROP(RetryBudget, RetriesAreATenthOfFirstAttemptsPlusTheMinimumRate, ())
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
