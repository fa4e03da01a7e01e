#include "load/plan.h"
#include "load/report_bounds.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::load;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::UnorderedElementsAre;

// Guards against a parser that stops at the first error, so that fixing a plan takes one run per
// error.
TEST(LoadPlan, ListsEveryErrorWithItsPath)
{
    error_list errors;
    parsePlan(R"({
        "threds": 2,
        "phases": [{"name": "a", "seconds": 0}, {"name": "a", "seconds": 1, "customers": {"x": 2}}],
        "kinds": [{"name": "read", "path": "read"}],
        "customers": [{"name": "c", "rate": -1, "kinds": {"write": 1}, "targets": ["ftp://h"],
                       "retry": {"mode": "often"}, "limit": {"rate": 5}}]
    })",
              errors);
    EXPECT_THAT(errors, UnorderedElementsAre(
                                HasSubstr("threds: unknown field"),
                                HasSubstr("phases[0].seconds: expected"),
                                HasSubstr("phases[1].name: expected a name that is used once"),
                                HasSubstr("phases[1].customers.x: unknown field"),
                                HasSubstr("kinds[0].path: expected a path"),
                                HasSubstr("customers[0].rate: expected a number of at least 0"),
                                HasSubstr("customers[0].kinds.write: unknown field"),
                                HasSubstr("customers[0].kinds: expected a share"),
                                HasSubstr("customers[0].targets: expected base URLs"),
                                HasSubstr("customers[0].retry.mode: expected none"),
                                HasSubstr("customers[0].limit.burst: expected this field")));
}

// Guards against ignoring or misreading a field of the documented format.
TEST(LoadPlan, ReadsACompletePlan)
{
    error_list errors;
    const load_plan plan = parsePlan(R"({
        // Comments are allowed.
        "seed": 7, "threads": 3, "max_outstanding": 50, "drain_seconds": 1,
        "phases": [{"name": "calm", "seconds": 2},
                   {"name": "surge", "seconds": 1, "multiplier": 4, "customers": {"b": 9}, "surge": true}],
        "kinds": [{"name": "read", "path": "/r"},
                  {"name": "write", "method": "POST", "path": "/w", "body_bytes": 10, "crash": true}],
        "customers": [
            {"name": "a", "rate": 5, "kinds": {"read": 1}, "targets": ["http://127.0.0.1:1"]},
            {"name": "b", "rate": 6, "kinds": {"read": 1, "write": 3}, "key": "k", "skew": 1,
             "targets": ["http://127.0.0.1:1", "http://127.0.0.1:2"], "timeout_ms": 100,
             "deadline_ms": 50, "ids": "answer", "limit": {"rate": 10, "burst": 20},
             "retry": {"mode": "backoff", "retries": 2, "base_ms": 10}}]
    })",
                                     errors);
    ASSERT_THAT(errors, IsEmpty());
    EXPECT_EQ(plan.length(), std::chrono::seconds(3));
    EXPECT_EQ(plan.phases[1].multipliers, (std::vector<double>{4.0, 9.0}));
    EXPECT_TRUE(plan.kinds[0].idempotent);
    EXPECT_FALSE(plan.kinds[1].idempotent);
    EXPECT_TRUE(plan.kinds[1].crash);
    const load_customer &customer = plan.customers[1];
    EXPECT_EQ(customer.kindWeights, (std::vector<double>{1.0, 3.0}));
    EXPECT_EQ(customer.targets.size(), 2U);
    EXPECT_EQ(customer.ids, id_source::response);
    EXPECT_EQ(customer.retry.mode, retry_mode::backoff);
    EXPECT_EQ(customer.retry.retries, 2U);
    EXPECT_EQ(customer.deadline, std::chrono::milliseconds(50));
}

// Guards against accepting text that is not JSON as an empty plan.
TEST(LoadPlan, RejectsTextThatIsNotJson)
{
    error_list errors;
    parsePlan("{", errors);
    EXPECT_EQ(errors.size(), 1U);
}

// Guards against a bound on a missing value that passes.
TEST(LoadReportBounds, BoundsOnMissingAndNullValuesFail)
{
    const report_json report{{"a", 3}, {"b", nullptr}};
    const std::vector<bound_result> results = checkBounds(
            {{"/a", 3.0, 3.0}, {"/a", 3.5, 9.0}, {"/b", 0.0, 9.0}, {"/c/d", 0.0, 9.0}}, report);
    EXPECT_TRUE(results[0].held);
    EXPECT_FALSE(results[1].held);
    EXPECT_FALSE(results[2].held);
    EXPECT_FALSE(results[3].held);
}

// Guards against ignoring a misspelt bound in a check file.
TEST(LoadReportBounds, ListsErrorsOfTheFile)
{
    error_list errors;
    parseBounds(R"({"checks": [{"value": "a", "atleast": 1}]})", errors);
    EXPECT_THAT(errors, UnorderedElementsAre(HasSubstr("checks[0].value"),
                                             HasSubstr("checks[0].at_least: expected"),
                                             HasSubstr("checks[0].atleast: unknown field")));
}
