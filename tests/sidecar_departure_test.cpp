#include "fakes/loop_runner.h"
#include "fakes/platform_store.h"
#include "fakes/sidecar_fleet.h"
#include "sidecar/sidecar_app.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace tamarackridge {
namespace {

using fakes::fakeSet;
using fakes::sidecar_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How the server beside `a2` says that it leaves.
enum class notice : std::uint8_t { report, leave_notice, leave_notice_without_start };

struct sidecar_departure : testing::TestWithParam<notice>
{
    sidecar_fleet fleet{{{"a1", "front"}, {"a2", "orders"}, {"b1", "orders"}}};

    void SetUp() override
    {
        fleet.publishAll(fakeSet(5));
        for (const char *node : {"a1", "a2", "b1"})
            ASSERT_TRUE(fleet.report(node, 1));
        fleet.advance(seconds(1));
    }

    void leave()
    {
        if (GetParam() == notice::report) {
            ASSERT_TRUE(fleet.report("a2", 3, true));
            return;
        }
        const std::optional<std::int64_t> startedAt =
                GetParam() == notice::leave_notice ? std::optional<std::int64_t>(1) : std::nullopt;
        fleet.runEvent("a2", [&](sidecar_core &core, action_list &out) {
            core.serverLeaving("i-1", startedAt, fleet.now(), out);
        });
    }
    void killAll()
    {
        fleet.restartAll();
        fleet.publishAll(fakeSet(5));
        for (const char *node : {"a1", "b1"})
            fleet.report(node, 9);
    }
    /// Sends requests from a node beside which no server of their service runs.
    void expectRunsOn(const std::string &node)
    {
        fleet.advance(milliseconds(200));
        for (const char *route : {"read", "write"}) {
            const std::size_t before = fleet.runs.size();
            fleet.call("a1", route);
            ASSERT_EQ(fleet.runs.size(), before + 1);
            EXPECT_EQ(fleet.runs.back().node, node);
            fleet.finish(before);
        }
    }
};

// Guards against requests to a server that has left: all processes are killed, and a report that it
// sent before its notice, or sends after it, reaches the new process. Found by an independent
// review.
TEST_P(sidecar_departure, a_server_that_left_stays_unused_after_a_kill_of_all_processes)
{
    leave();
    for (const int sequence : {2, 4}) {
        killAll();
        fleet.report("a2", sequence);
        expectRunsOn("b1");
    }
    EXPECT_TRUE(fleet.report("a2", 1, false, 2)) << "a new start";
    expectRunsOn("a2");
}

// Guards against a server that is used again because its process goes on sending reports.
TEST_P(sidecar_departure, later_reports_do_not_revoke_a_departure)
{
    leave();
    EXPECT_TRUE(fleet.report("a2", 4));
    expectRunsOn("b1");
}

// Guards against the same when the kill comes again before the first new process has read the
// store, and when another node has the configuration but no memory of the departure.
TEST_P(sidecar_departure, a_server_that_left_stays_unused_after_two_kills_without_the_store)
{
    leave();
    fleet.nodesWithoutStore = {"a2"};
    for (int kill = 0; kill < 2; ++kill) {
        killAll();
        EXPECT_TRUE(fleet.report("a2", 4 + kill));
        expectRunsOn("b1");
    }
    fleet.restart("a2");
    fleet.publish(fakeSet(5), "a2");
    EXPECT_TRUE(fleet.report("a2", 6));
    expectRunsOn("b1");
    fleet.nodesWithoutStore.clear();
    fleet.readRecords("a2");
    expectRunsOn("b1");
    EXPECT_TRUE(fleet.report("a2", 1, false, 2)) << "a new start";
    expectRunsOn("a2");
}

// Guards against a server that is not used after a kill since its report was received before the
// departures were read.
TEST_P(sidecar_departure, a_server_that_stays_is_used_once_the_store_is_read)
{
    fleet.nodesWithoutStore = {"a2"};
    killAll();
    EXPECT_TRUE(fleet.report("a2", 5));
    EXPECT_TRUE(fleet.report("a2", 4)) << "a late report";
    expectRunsOn("b1");
    fleet.nodesWithoutStore.clear();
    fleet.readRecords("a2");
    expectRunsOn("a2");
}

// Guards against nodes that restart one after the other while the store is away and leave all
// servers unused: the other nodes know the departures of each.
TEST_P(sidecar_departure, a_restart_without_the_store_uses_what_other_nodes_know)
{
    fleet.nodesWithoutStore = {"a1", "a2", "b1"};
    fleet.restart("a2");
    fleet.advance(seconds(1));
    EXPECT_TRUE(fleet.report("a2", 2));
    expectRunsOn("a2");
    leave();
    fleet.advance(seconds(1));
    fleet.restart("a2");
    fleet.advance(seconds(1));
    fleet.report("a2", 5);
    expectRunsOn("b1");
}

INSTANTIATE_TEST_SUITE_P(notices, sidecar_departure,
                         testing::Values(notice::report, notice::leave_notice,
                                         notice::leave_notice_without_start));

/// A node beside the server `i-1`, with a store that outlives its processes.
struct departure_store : testing::Test
{
    boost::asio::io_context loop;
    sidecar_settings settings = settingsOf("orders");
    std::unique_ptr<fakes::platform_store> store =
            std::make_unique<fakes::platform_store>(loop, settings.store);
    std::unique_ptr<platform::store_gateway> gateway;
    std::unique_ptr<sidecar_app> app;
    std::int64_t sequence = 0;

    departure_store()
    {
        store->put("keyed.op", "config",
                   R"({"version":1,"resources":[{"type":"services","metadata":{"name":"orders"},)"
                   R"("spec":{"healthPath":"/health"}},)"
                   R"({"type":"routes","metadata":{"name":"read"},"spec":{)"
                   R"("hostname":"h","pathPrefix":"/read/","routeType":"idempotent","timeoutS":1,)"
                   R"("attempts":1,"service":"orders","public":true}}]})");
        startProcess();
    }

    static sidecar_settings settingsOf(const std::string &service)
    {
        sidecar_settings settings;
        settings.zone = "a";
        settings.zones = {"a"};
        settings.name = "node-" + service;
        settings.service = service;
        for (socket_address sidecar_settings::*address :
             {&sidecar_settings::callers, &sidecar_settings::health, &sidecar_settings::control,
              &sidecar_settings::backend, &sidecar_settings::peers, &sidecar_settings::metrics,
              &sidecar_settings::store})
            settings.*address = fakes::freeAddress();
        return settings;
    }

    void startProcess()
    {
        app.reset();
        gateway = std::make_unique<platform::store_gateway>(loop, settings.store);
        app = std::make_unique<sidecar_app>(loop, settings, *gateway);
        app->start();
        ASSERT_TRUE(fakes::runUntil(loop, [this] {
            return exchange(settings.health, {"GET", "/", {}, nullptr}, seconds(1)) == 200;
        }));
    }

    /// \returns the status of the response to a request, or 0 if none comes within \a timeout.
    int exchange(const socket_address &target, http_request request, duration timeout)
    {
        int status = 0;
        connection_pool pool(loop, target);
        request.headers.push_back({"Host", "h"});
        bool ended = false;
        const auto done = [&](const exchange_result &result) {
            ended = true;
            if (result.end == exchange_outcome::completed)
                status = result.response.status;
        };
        pool.exchange(request, {}, monotonicNow() + timeout, connection_reuse::any, done);
        fakes::runUntil(
                loop, [&ended] { return ended; }, [&] { pool.sweep(monotonicNow()); });
        return status;
    }
    int notify(const std::string &method, const std::string &body)
    {
        constexpr seconds acknowledgementTimeout(1);
        return exchange(
                settings.control,
                {method, "/api/instances/i-1", {}, std::make_shared<const std::string>(body)},
                acknowledgementTimeout);
    }
    int report(const std::string &state, std::int64_t startedAt = 7)
    {
        return notify("PUT",
                      R"({"born":)" + std::to_string(startedAt) + R"(,"address":")"
                              + settings.backend.text()
                              + R"(","info":{"service":"orders","slots":9},"status":{"state":")"
                              + state + R"(","sequence":)" + std::to_string(++sequence) + "}}");
    }
    bool isServerUsed()
    {
        const std::string id = std::to_string(++m_requests);
        return exchange(settings.callers,
                        {"GET",
                         "/read/1",
                         {{"X-Request-Id", id}, {"X-Deadline-Ms", "200"}},
                         nullptr},
                        seconds(1))
               == 200;
    }
    /// Replaces the process of the node while the store goes back to the copy of its first \a count
    /// writes.
    void killAndRestore(std::size_t count)
    {
        app.reset();
        ASSERT_NE(store->newest("keyed.members", settings.name), "") << "not registered yet";
        store->restore(count);
        startProcess();
    }
    bool isServerHealthy = true;
    std::string instanceInHealthResponse = "i-1";
    std::size_t healthChecks = 0;

    std::string recorded() { return store->newest("keyed.retained", "departure/i-1"); }

private:
    void serve(call_id call, const http_request &request)
    {
        http_response response;
        response.status = 200;
        if (request.target == "/health") {
            ++healthChecks;
            response.status = isServerHealthy ? 200 : 503;
            response.headers = {{"X-Instance-Id", instanceInHealthResponse}};
            m_server.respond(call, response);
            return;
        }
        response.headers = {
                {"X-Response-Seal", "s"},
                {"X-Request-Id", std::string(headerValue(request.headers, "X-Request-Id"))}};
        m_server.respond(call, response);
    }

    int m_requests = 0;
    call_id m_lastCall = 0;
    caller_limits m_limits;
    http_listener m_server{
            loop,
            settings.backend,
            {[this](call_id call, const http_request &request) { serve(call, request); },
             [](call_id) {}, [this]() -> const caller_limits & { return m_limits; },
             [] { return false; }},
            m_lastCall};
};

// Guards against an acknowledgement that does not hold for the next process, with each kind of
// notice.
TEST_F(departure_store, an_acknowledged_departure_is_known_to_the_next_process)
{
    for (const bool byReport : {true, false}) {
        const std::int64_t startedAt = byReport ? 7 : 8;
        ASSERT_EQ(report("ready", startedAt), 200);
        ASSERT_TRUE(fakes::runUntil(loop, [this] { return isServerUsed(); }));
        EXPECT_EQ(byReport ? report("draining", startedAt) : notify("DELETE", "{\"born\":8}"), 200);
        EXPECT_NE(recorded(), "");
        EXPECT_FALSE(isServerUsed());
        for (int kill = 0; kill < 2; ++kill) {
            startProcess();
            EXPECT_EQ(report("ready", startedAt), 200);
            loop.restart();
            loop.run_for(milliseconds(300));
            EXPECT_FALSE(isServerUsed());
        }
    }
    EXPECT_EQ(report("ready", 9), 200) << "a new start";
    EXPECT_TRUE(fakes::runUntil(loop, [this] { return isServerUsed(); }));
}

// Guards against an acknowledgement while the store is away, which a kill of all processes would
// break. The server gets no new requests all the same, and a later notice is acknowledged.
TEST_F(departure_store, a_departure_is_acknowledged_only_when_it_is_recorded)
{
    ASSERT_EQ(report("ready"), 200);
    ASSERT_TRUE(fakes::runUntil(loop, [this] { return isServerUsed(); }));
    for (const bool unresponsive : {false, true}) {
        store->failureStatus = 503;
        store->unresponsive = unresponsive;
        EXPECT_EQ(report("draining"), 503);
        EXPECT_FALSE(isServerUsed());
    }
    EXPECT_EQ(recorded(), "");
    store->failureStatus = 0;
    store->unresponsive = false;
    ASSERT_TRUE(fakes::runUntil(loop, [this] { return !recorded().empty(); }));
    EXPECT_EQ(report("draining"), 200);
}

// Guards against a server that is used while the store, where its departure may be, is not read.
TEST_F(departure_store, reports_wait_for_the_departures)
{
    store->rejectedTopic = "keyed.retained";
    startProcess();
    EXPECT_EQ(report("ready"), 200);
    EXPECT_FALSE(isServerUsed());
    store->rejectedTopic.clear();
    EXPECT_TRUE(fakes::runUntil(loop, [this] { return isServerUsed(); }));
}

// Guards against an acknowledged departure that a restored store has lost.
TEST_F(departure_store, a_departure_that_a_restore_lost_is_recorded_again)
{
    ASSERT_EQ(notify("DELETE", "{\"born\":7}"), 200);
    store->rejectWaiting();
    store->restore(1);
    ASSERT_EQ(recorded(), "");
    EXPECT_TRUE(fakes::runUntil(loop, [this] { return !recorded().empty(); }));
}

// Guards against a departure that is lost when the store comes back from a copy without it while no
// process of the node runs: the next process finds no record, and the server goes on reporting that
// it is ready. Found by the fault soak.
TEST_F(departure_store, a_departure_that_a_restore_lost_during_a_kill_is_found_by_a_health_check)
{
    ASSERT_EQ(report("ready"), 200);
    ASSERT_TRUE(fakes::runUntil(loop, [this] { return isServerUsed(); }));
    EXPECT_EQ(healthChecks, 0U) << "the store has lost nothing";
    const std::size_t beforeDeparture = store->writes();
    ASSERT_EQ(notify("DELETE", "{\"born\":7}"), 200);
    isServerHealthy = false;
    killAndRestore(beforeDeparture);
    ASSERT_EQ(recorded(), "");
    for (int kill = 0; kill < 2; ++kill) {
        for (int repeat = 0; repeat < 2; ++repeat) {
            EXPECT_EQ(report("ready"), 200);
            loop.restart();
            loop.run_for(milliseconds(300));
            EXPECT_FALSE(isServerUsed());
        }
        startProcess();
    }
    isServerHealthy = true;
    EXPECT_TRUE(fakes::runUntil(loop, [this] {
        report("ready", 8);
        return isServerUsed();
    })) << "a new start";
}

// Guards against a server that stays and is not used after a restore, and against a health check
// that another server has passed, whose address the server now has.
TEST_F(departure_store, a_server_that_stays_is_used_after_a_restore_and_a_kill)
{
    ASSERT_EQ(report("ready"), 200);
    ASSERT_TRUE(fakes::runUntil(loop, [this] { return isServerUsed(); }));
    instanceInHealthResponse = "i-0";
    killAndRestore(store->writes());
    EXPECT_EQ(report("ready"), 200);
    loop.restart();
    loop.run_for(milliseconds(300));
    EXPECT_FALSE(isServerUsed());
    EXPECT_GT(healthChecks, 0U);
    instanceInHealthResponse = "i-1";
    EXPECT_TRUE(fakes::runUntil(loop, [this] {
        report("ready");
        return isServerUsed();
    }));
}

// Guards against records that stay for ever, and against one that cannot be decoded and hides the
// others.
TEST_F(departure_store, expired_and_odd_records_have_no_effect)
{
    store->put("keyed.retained", "departure/i-0", R"({"node":"gone","expires_at":1000})");
    store->put("keyed.retained", "departure/odd", "{");
    store->put("keyed.retained", "other/i-1", "x");
    store->put("keyed.retained", "departure/i-1",
               R"({"node":"node-orders","started_at":6,"expires_at":99999999999})");
    startProcess();
    EXPECT_TRUE(fakes::runUntil(
            loop, [this] { return store->newest("keyed.retained", "departure/i-0").empty(); }));
    EXPECT_EQ(report("ready", 6), 200);
    EXPECT_FALSE(isServerUsed());
    EXPECT_EQ(report("ready", 7), 200);
    EXPECT_TRUE(fakes::runUntil(loop, [this] { return isServerUsed(); }));
}

} // namespace
} // namespace tamarackridge
