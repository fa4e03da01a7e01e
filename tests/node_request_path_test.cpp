#include "scenario/sample_fleet.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

namespace {

class node_request_path : public ::testing::Test
{
protected:
    node_request_path()
        : m_sample({.seed = 20261204}, {{"andes", 1000, 1000}, {"pampa", 1000, 1000}})
    {
        m_sample.fleet.run(15s);
    }

    http_response call(const std::string &node, const http_request &request, duration wait = 3s)
    {
        http_response result;
        m_sample.fleet.call(node, request,
                            [&result](const http_response &response) { result = response; });
        m_sample.fleet.run(wait);
        return result;
    }
    static std::string_view state(const http_response &response)
    {
        return headerValue(response.headers, "Tamarackridge-Run-State");
    }
    static std::string_view error(const http_response &response)
    {
        return headerValue(response.headers, "Tamarackridge-Error");
    }

    sample_fleet m_sample;
    virtual_fleet &m_fleet = m_sample.fleet;
};

} // namespace

// Guards against a response that is incomplete or belongs to another request.
TEST_F(node_request_path, ALookupIsServedByThePeerThatHasTheService)
{
    const http_response response =
            call("a-tariffs", m_sample.request("GET", "/movements", "andes", "m1"));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(bodyView(response.body), "answer to m1");
    EXPECT_EQ(state(response), "ran");
}

// Guards against API keys that reach backend servers, and against requests that run without a valid
// key or for a customer other than the key's.
TEST_F(node_request_path, KeysStayAtTheNodeAndDecideForWhomARequestRuns)
{
    call("a-tariffs", m_sample.request("GET", "/movements", "andes", "m1"));
    ASSERT_EQ(m_sample.executionsOf("m1"), 1U);
    EXPECT_EQ(m_fleet.executions().back().customer, "andes");
    EXPECT_FALSE(m_fleet.executions().back().receivedApiKey);
    EXPECT_EQ(error(call("a-tariffs", m_sample.request("GET", "/movements", "nobody", "m2"))),
              "key_missing");
    http_request forged = m_sample.request("GET", "/movements", "nobody", "m3");
    forged.headers.push_back({"Authorization", "Bearer andes.wrong"});
    forged.headers.push_back({"Tamarackridge-Customer", "pampa"});
    EXPECT_EQ(error(call("a-tariffs", forged)), "key_unknown");
    EXPECT_EQ(m_sample.executionsOf("m2") + m_sample.executionsOf("m3"), 0U);
    EXPECT_EQ(call("a-tariffs", m_sample.request("GET", "/status", "nobody", "m4")).status, 200);
}

// Guards against a write that runs without a request id, so that a resend cannot be recognised.
TEST_F(node_request_path, AWriteWithoutAnIdIsRefusedWithANewId)
{
    const http_response refused =
            call("b-tariffs", m_sample.request("POST", "/invoices", "andes", "w1"));
    EXPECT_EQ(refused.status, 428);
    EXPECT_EQ(state(refused), "not-run");
    const std::string id(headerValue(refused.headers, "Tamarackridge-Request-Id"));
    const http_response response = call("b-tariffs", m_sample.write("andes", "w1", id));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(m_sample.executionsOf("w1"), 1U);
}

// Guards against onward calls that run without the customer of their parent or require its API key.
TEST_F(node_request_path, AnOnwardCallRunsForTheSameCustomer)
{
    const std::string id = m_sample.newRequestId("a-movements", "pampa");
    EXPECT_EQ(call("a-movements", m_sample.write("pampa", "w2", id)).status, 200);
    ASSERT_EQ(m_sample.executionsOf("w2//tariffs"), 1U);
    for (const execution_record &record : m_fleet.executions())
        EXPECT_EQ(record.customer, "pampa") << record.marker;
}

// Guards against a resend through another zone that runs a write a second time.
TEST_F(node_request_path, AResendThroughAnotherZoneGetsTheSameResponse)
{
    const std::string id = m_sample.newRequestId("a-movements", "andes");
    const http_response first = call("a-movements", m_sample.write("andes", "w3", id));
    const http_response second = call("d-tariffs", m_sample.write("andes", "w3", id));
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(bodyView(second.body), bodyView(first.body));
    EXPECT_EQ(m_sample.executionsOf("w3"), 1U);
}

// Guards against a replacement node that runs a write again that its predecessor may have run, or
// reports it as `not-run`.
TEST_F(node_request_path, AfterTheOwnerIsReplacedAResendIsUnknownAndDoesNotRun)
{
    const std::string id = m_sample.newRequestId("a-movements", "andes");
    call("a-movements", m_sample.write("andes", "w4", id));
    m_fleet.replace("a-movements");
    m_fleet.run(10s);
    for (const char *node : {"a-movements", "c-tariffs"}) {
        const http_response response = call(node, m_sample.write("andes", "w4", id));
        EXPECT_EQ(state(response), "unknown") << node;
    }
    EXPECT_EQ(m_sample.executionsOf("w4"), 1U);
}

// Guards against a planned stop that loses the records of which writes ran.
TEST_F(node_request_path, APlannedStopHandsItsRequestIdsOver)
{
    const std::string used = m_sample.newRequestId("a-movements", "andes");
    const std::string unused = m_sample.newRequestId("a-movements", "andes");
    call("a-movements", m_sample.write("andes", "w5", used));
    m_fleet.stop("a-movements");
    m_fleet.run(10s);
    EXPECT_FALSE(m_fleet.alive("a-movements"));
    const http_response again = call("b-movements", m_sample.write("andes", "w5", used));
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(m_sample.executionsOf("w5"), 1U);
    EXPECT_EQ(call("b-movements", m_sample.write("andes", "w6", unused)).status, 200);
}

// Guards against a write that runs again after its backend server crashed while running it.
TEST_F(node_request_path, AWriteStaysUnknownAfterItsBackendServerCrashed)
{
    for (const std::string &zone : m_sample.zones)
        m_fleet.backend(zone + "-invoicing").setServiceTime(600s);
    const std::string id = m_sample.newRequestId("a-movements", "andes");
    http_response first;
    m_fleet.call("a-movements", m_sample.write("andes", "w7", id),
                 [&first](const http_response &response) { first = response; });
    m_fleet.run(200ms);
    for (const std::string &zone : m_sample.zones)
        m_fleet.backend(zone + "-invoicing").crash();
    m_fleet.run(3s);
    EXPECT_EQ(state(first), "unknown");
    for (const std::string &zone : m_sample.zones)
        m_fleet.backend(zone + "-invoicing").restart();
    m_fleet.run(3s);
    EXPECT_EQ(state(call("b-movements", m_sample.write("andes", "w7", id))), "unknown");
    EXPECT_EQ(m_sample.executionsOf("w7"), 1U);
}

// Guards against an owner that was paused before it dispatched a write and dispatches it on
// resuming, after the caller has already received another outcome.
TEST_F(node_request_path, APausedOwnerDoesNotRunAWriteTwice)
{
    const std::string id = m_sample.newRequestId("a-movements", "andes");
    m_fleet.pause("a-movements");
    m_fleet.call("a-movements", m_sample.write("andes", "w8", id), [](const http_response &) {});
    const http_response resend = call("b-movements", m_sample.write("andes", "w8", id));
    EXPECT_EQ(state(resend), "unknown");
    m_fleet.run(10s);
    m_fleet.resume("a-movements");
    m_fleet.run(5s);
    EXPECT_LE(m_sample.executionsOf("w8"), 1U);
}

// Guards against a zone that stops serving because it is cut off from the other zones and the log.
TEST_F(node_request_path, ACutOffZoneKeepsServing)
{
    m_fleet.cutZone("c");
    m_fleet.cutLog("c");
    m_fleet.run(60s);
    EXPECT_EQ(call("c-tariffs", m_sample.request("GET", "/movements", "andes", "m5")).status, 200);
    EXPECT_EQ(call("a-tariffs", m_sample.request("GET", "/movements", "andes", "m6")).status, 200);
}

// Guards against a new VM that cannot serve while the platform log is unavailable.
TEST_F(node_request_path, AFreshNodeLearnsTheConfigurationFromPeers)
{
    m_fleet.log().setAvailable(false);
    m_fleet.replace("b-tariffs");
    m_fleet.run(8s);
    const http_response response =
            call("b-tariffs", m_sample.request("GET", "/movements", "andes", "m7"));
    EXPECT_EQ(response.status, 200) << error(response);
}
