#include "scenario/client_load.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

// Guards against a planned stop that aborts requests or loses writes, and against a stopping node
// that still gets new requests.
TEST(NodePlannedStop, AbortsNoRequestAndGetsNoNewOnes)
{
    sample_fleet sample({.seed = 20261204}, {{"andes", 4000, 4000}});
    oracle judge;
    sample.fleet.run(15s);
    client_load load(sample, judge, 1);
    // No load goes to zone a, as callers avoid a stopping node once it closes their connections.
    load.start({.customer = "andes", .zones = {"b", "c", "d"}, .rate = 400, .writeShare = 0.3},
               20s);
    sample.fleet.run(5s);
    const time_point stopped = sample.fleet.events().now();
    sample.fleet.stop("a-movements");
    sample.fleet.stop("a-invoicing");
    sample.fleet.run(25s);
    EXPECT_FALSE(sample.fleet.alive("a-movements"));
    EXPECT_DOUBLE_EQ(load.goodput("andes", 15, 35), 1.0);
    for (const execution_record &record : sample.fleet.executions()) {
        if (record.node == "a-movements" || record.node == "a-invoicing")
            EXPECT_LE(record.began, stopped + 2s) << record.marker;
    }
    EXPECT_TRUE(judge.violations(sample.fleet.executions(), 1100ms).empty());
}

// Guards against a node that still issues request ids while it is about to hand over its ledger.
TEST(NodePlannedStop, ALeavingNodeIssuesNoRequestIds)
{
    sample_fleet sample({.seed = 20261204}, {{"andes", 100, 100}});
    sample.fleet.run(15s);
    sample.fleet.stop("a-movements");
    http_response response;
    sample.fleet.call("a-movements", sample.request("POST", "/invoices", "andes", "w1"),
                      [&response](const http_response &received) { response = received; });
    sample.fleet.run(1s);
    EXPECT_EQ(headerValue(response.headers, "Tamarackridge-Error"), "leaving");
    EXPECT_EQ(headerValue(response.headers, "Tamarackridge-Run-State"), "not-run");
    EXPECT_TRUE(headerValue(response.headers, "Tamarackridge-Request-Id").empty());
}
