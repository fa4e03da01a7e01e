#include "load/service_received.h"

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

// Guards against counting a refusal of a request outside the rate as wrongful, and the reverse.
TEST(LoadServiceReceived, OnlyRefusalsInsideTheIdealBucketAreWrongful)
{
    const load_plan plan = planWithLimit(10.0, 2.0);
    run_records records;
    // The burst of 2 is used up at 0 ms; the next token is there at 100 ms.
    records.sends = {sendAt(0, false), sendAt(0, false), sendAt(50, true), sendAt(100, true)};
    EXPECT_EQ(measureService(plan, records)[0].wrongfulRefusals, 1U);
}

// Guards against blaming the fleet for admitting another part of a flood than the ideal bucket.
TEST(LoadServiceReceived, WhichSendsOfAFloodAreAdmittedDoesNotMatter)
{
    const load_plan plan = planWithLimit(10.0, 1.0);
    run_records records;
    // The ideal bucket admits at 0 and 100 ms, the fleet at 0 and 150 ms.
    records.sends = {sendAt(0, false), sendAt(50, true), sendAt(100, true), sendAt(150, false),
                     sendAt(180, true)};
    EXPECT_EQ(measureService(plan, records)[0].wrongfulRefusals, 1U);
    records.sends.push_back(sendAt(200, true));
    records.sends.push_back(sendAt(300, true));
    EXPECT_EQ(measureService(plan, records)[0].wrongfulRefusals, 2U);
}

// Guards against a verdict that depends on the order in which threads handed in their records.
TEST(LoadServiceReceived, RecordsOfSeveralThreadsAreMergedByTime)
{
    const load_plan plan = planWithLimit(10.0, 1.0);
    run_records records;
    records.sends = {sendAt(150, true), sendAt(100, false), sendAt(0, false)};
    EXPECT_EQ(measureService(plan, records)[0].wrongfulRefusals, 0U);
}

// Guards against a customer that floods the system and so appears badly served.
TEST(LoadServiceReceived, RequestsBeyondTheRateDoNotLowerTheRatio)
{
    const load_plan plan = planWithLimit(10.0, 1.0);
    run_records records;
    for (int index = 0; index < 100; ++index) {
        request_record request;
        request.intended = std::chrono::milliseconds(10 * index);
        request.outcome = index % 10 == 0 ? request_outcome::whole : request_outcome::refused;
        records.requests.push_back(request);
    }
    const service_received received = measureService(plan, records)[0];
    EXPECT_EQ(received.insideRate, 10U);
    EXPECT_DOUBLE_EQ(received.servedRatio(), 1.0);
}

// Guards against a customer without a limit for whom every refusal would pass as rightful.
TEST(LoadServiceReceived, WithoutALimitEveryRequestIsInside)
{
    const load_plan plan = planWithLimit(0.0, 0.0);
    run_records records;
    records.sends = {sendAt(0, true), sendAt(0, true)};
    EXPECT_EQ(measureService(plan, records)[0].wrongfulRefusals, 2U);
}
