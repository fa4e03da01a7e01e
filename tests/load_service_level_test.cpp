#include "load/service_level.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::load;

namespace {

load_plan planWithLimit(double rate, double burst)
{
    load_plan plan;
    load_customer customer;
    customer.name = "customer";
    customer.limit = {rate, burst};
    plan.customers = {customer};
    return plan;
}

send_record sendAt(int milliseconds, bool refused)
{
    return {0, std::chrono::milliseconds(milliseconds), refused, true};
}

} // namespace

// Guards against counting refusals outside the rate as wrongful, or missing those within it.
TEST(LoadServiceLevel, OnlyRefusalsInsideTheIdealBucketAreWrongful)
{
    const load_plan plan = planWithLimit(10.0, 2.0);
    run_records records;
    // The burst of 2 is used up at 0 ms; the next token is available at 100 ms.
    records.sends = {sendAt(0, false), sendAt(0, false), sendAt(50, true), sendAt(100, true)};
    EXPECT_EQ(measureServiceLevels(plan, records)[0].wrongfulRefusals, 1U);
}

// Guards against reporting wrongful refusals because the fleet admits other sends of a flood than
// the ideal bucket does.
TEST(LoadServiceLevel, WhichSendsOfAFloodAreAdmittedDoesNotMatter)
{
    const load_plan plan = planWithLimit(10.0, 1.0);
    run_records records;
    // The ideal bucket admits at 0 and 100 ms, the fleet at 0 and 150 ms.
    records.sends = {sendAt(0, false), sendAt(50, true), sendAt(100, true), sendAt(150, false),
                     sendAt(180, true)};
    EXPECT_EQ(measureServiceLevels(plan, records)[0].wrongfulRefusals, 1U);
    records.sends.push_back(sendAt(200, true));
    records.sends.push_back(sendAt(300, true));
    EXPECT_EQ(measureServiceLevels(plan, records)[0].wrongfulRefusals, 2U);
}

// Guards against a result that depends on the order in which threads return their records.
TEST(LoadServiceLevel, RecordsOfSeveralThreadsAreMergedByTime)
{
    const load_plan plan = planWithLimit(10.0, 1.0);
    run_records records;
    records.sends = {sendAt(150, true), sendAt(100, false), sendAt(0, false)};
    EXPECT_EQ(measureServiceLevels(plan, records)[0].wrongfulRefusals, 0U);
}

// Guards against a customer whose served ratio drops because it exceeds its rate.
TEST(LoadServiceLevel, RequestsBeyondTheRateDoNotLowerTheRatio)
{
    const load_plan plan = planWithLimit(10.0, 1.0);
    run_records records;
    for (int index = 0; index < 100; ++index) {
        request_record request;
        request.intendedStart = std::chrono::milliseconds(10 * index);
        request.outcome = index % 10 == 0 ? request_outcome::complete : request_outcome::refused;
        records.requests.push_back(request);
    }
    const service_level received = measureServiceLevels(plan, records)[0];
    EXPECT_EQ(received.withinRate, 10U);
    EXPECT_DOUBLE_EQ(received.servedRatio(), 1.0);
}

// Guards against missing wrongful refusals of a customer without a limit.
TEST(LoadServiceLevel, WithoutALimitEveryRequestIsWithinTheRate)
{
    const load_plan plan = planWithLimit(0.0, 0.0);
    run_records records;
    records.sends = {sendAt(0, true), sendAt(0, true)};
    EXPECT_EQ(measureServiceLevels(plan, records)[0].wrongfulRefusals, 2U);
}
