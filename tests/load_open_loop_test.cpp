#include "backend/http_server.h"
#include "load/group_stats.h"
#include "load/runner.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace tamarackridge;
using namespace tamarackridge::load;

namespace {

/// Backend stand-in that runs in this process.
struct local_server
{
    explicit local_server(bool frozen)
        : handler(fastServer())
        , server(0, 200, handler)
    {
        if (frozen)
            setFrozen("true");
    }
    ~local_server() { setFrozen("false"); }

    static backend::server_options fastServer()
    {
        backend::server_options options;
        options.serviceTime.medianMs = 1.0;
        return options;
    }

    void setFrozen(const std::string &value)
    {
        const std::string body = "{\"frozen\":" + value + "}";
        backend::server_request request;
        request.method = "POST";
        request.path = "/control";
        request.body = body;
        EXPECT_EQ(handler.handle(request).status, 200U);
    }

    backend::request_handler handler;
    backend::http_server server;
};

load_plan planFor(const local_server &server)
{
    load_plan plan;
    plan.maxOutstanding = 20;
    plan.drainTimeout = std::chrono::seconds(2);
    plan.phases = {{"only", std::chrono::milliseconds(400), {1.0}, false}};
    plan.kinds = {{.name = "read", .method = "GET", .path = "/read"}};
    load_customer customer;
    customer.name = "customer";
    customer.rate = 250.0;
    customer.kindWeights = {1.0};
    customer.targets = {"http://127.0.0.1:" + std::to_string(server.server.port())};
    customer.retry = {retry_mode::backoff, 2, std::chrono::milliseconds(1)};
    customer.timeout = std::chrono::milliseconds(100);
    plan.customers = {customer};
    return plan;
}

std::vector<duration> intendedTimes(const finished_run &run)
{
    std::vector<duration> times;
    for (const request_record &request : run.records.requests)
        times.push_back(request.intendedStart);
    std::sort(times.begin(), times.end());
    return times;
}

std::size_t countOf(const finished_run &run, request_outcome outcome)
{
    return static_cast<std::size_t>(std::count_if(
            run.records.requests.begin(), run.records.requests.end(),
            [outcome](const request_record &request) { return request.outcome == outcome; }));
}

} // namespace

// Guards against a generator that waits for responses: it would send less load to a stalled server
// and omit the requests with the highest latency.
TEST(LoadOpenLoop, StalledServerDoesNotChangeTheSchedule)
{
    local_server healthy(false);
    local_server stalled(true);
    const finished_run reference = runPlan(planFor(healthy));
    const finished_run run = runPlan(planFor(stalled));

    ASSERT_GT(reference.records.requests.size(), 50U);
    EXPECT_EQ(intendedTimes(run), intendedTimes(reference));
    EXPECT_EQ(countOf(run, request_outcome::complete), 0U);
    // Requests above the limit of outstanding requests are not sent and are reported as failed.
    EXPECT_GT(countOf(run, request_outcome::not_sent), 0U);
    EXPECT_GT(countOf(run, request_outcome::no_response), 0U);
}

// Guards against responses of a healthy server that are not recognised as complete.
TEST(LoadOpenLoop, ResponsesOfHealthyServerAreComplete)
{
    local_server healthy(false);
    load_plan plan = planFor(healthy);
    plan.maxOutstanding = 1000;
    const finished_run run = runPlan(plan);
    EXPECT_EQ(countOf(run, request_outcome::complete), run.records.requests.size());
}

// Guards against latencies measured from the send, which would hide how long the request waited
// before it was sent.
TEST(LoadOpenLoop, LatencyCountsFromTheIntendedStart)
{
    request_record request;
    request.outcome = request_outcome::complete;
    request.intendedStart = std::chrono::milliseconds(10);
    request.firstSent = std::chrono::milliseconds(60);
    request.finished = std::chrono::milliseconds(80);
    group_stats stats;
    stats.add(request);
    EXPECT_DOUBLE_EQ(stats.toJson(1.0)["latency_ms"]["max"].get<double>(), 70.0);
}
