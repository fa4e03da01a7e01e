#include "fakes/sidecar_fleet.h"
#include "tamarackridge/membership"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::fakeSet;
using fakes::sidecar_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers use `a1`, whose backend server offers another service.
sidecar_fleet smallFleet()
{
    return sidecar_fleet({{"a1", "front"}, {"a2", "orders"}, {"b1", "orders"}});
}

void start(sidecar_fleet &fleet, const published_set &set = fakeSet(5))
{
    fleet.publishAll(set);
    for (const char *node : {"a1", "a2", "b1"})
        ASSERT_TRUE(fleet.report(node, 1));
    fleet.advance(seconds(1));
}

/// A set whose requests may outlast a planned stop.
published_set longTimeoutSet()
{
    published_set set = fakeSet(5);
    for (published_route &route : set.routes)
        route.timeout = seconds(10);
    return set;
}

void beginShutdown(sidecar_fleet &fleet, const std::string &node, duration untilExit)
{
    fleet.runEvent(node, [&](sidecar_core &core, action_list &out) {
        core.beginShutdown(fleet.now(), fleet.now() + untilExit, out);
    });
}

// Guards against responding with 401 or 404 before the first configuration has been read.
TEST(sidecar_core, without_a_configuration_every_request_is_refused_as_not_run)
{
    sidecar_fleet fleet = smallFleet();
    EXPECT_FALSE(fleet.core("a1").ready());
    const call_id call = fleet.call("a1", "read");
    EXPECT_EQ(fleet.status(call), 503);
    EXPECT_FALSE(headerValue(fleet.responses[call].headers, "Retry-After").empty());
}

// Guards against dispatching to another zone while the local one has a healthy server, and against
// a lost response.
TEST(sidecar_core, a_request_is_executed_in_the_local_zone_and_answered)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id call = fleet.call("a1", "read");
    ASSERT_EQ(fleet.runs.size(), 1U);
    EXPECT_EQ(fleet.runs[0].node, "a2");
    fleet.finish(0);
    EXPECT_EQ(fleet.status(call), 200);
}

// Guards against forwarding an API key to a backend server, and against a caller that forges the
// customer or the calling service.
TEST(sidecar_core, a_server_gets_customer_and_calling_service_from_the_node)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    fleet.call("a1", "read", "key-2",
               {{"Customer", "somebody"},
                {"Caller", "else"},
                {"Connection", "X-Hop"},
                {"X-Hop", "1"},
                {"Time-Left", "300"},
                {"X-Kept", "yes"}});
    ASSERT_EQ(fleet.runs.size(), 1U);
    const std::vector<http_header> &headers = fleet.runs[0].request.headers;
    EXPECT_EQ(headerValue(headers, "Key"), "");
    EXPECT_EQ(headerValue(headers, "Customer"), "andina");
    EXPECT_EQ(headerValue(headers, "Caller"), "front");
    EXPECT_EQ(headerValue(headers, "X-Hop"), "");
    EXPECT_EQ(headerValue(headers, "X-Kept"), "yes");
    EXPECT_EQ(headerValue(headers, "Time-Left"), "300");
    EXPECT_EQ(headerValue(headers, "Instance"), "i-1");
    EXPECT_EQ(fleet.runs[0].request.target, "/read/1?x=2");
    for (const char *name : {"Customer", "Caller", "Time-Left"}) {
        EXPECT_EQ(std::count_if(headers.begin(), headers.end(),
                                [name](const http_header &header) { return header.name == name; }),
                  1)
                << name;
    }
}

// Guards against accepting a withdrawn key, and against a node that returns to an older version.
TEST(sidecar_core, a_newer_set_replaces_keys_and_an_older_one_is_dropped)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    published_set next = fakeSet(9);
    next.customers[0].keys = {"key-2"};
    fleet.publish(next, "a1");
    EXPECT_EQ(fleet.status(fleet.call("a1", "read", "key-1")), 401);
    fleet.publish(fakeSet(5), "a1");
    EXPECT_EQ(fleet.status(fleet.call("a1", "read", "key-1")), 401);
    EXPECT_EQ(fleet.core("a1").status(fleet.now()).configVersion, 9);
}

// Guards against a node that misses changes because the store rejects its requests.
TEST(sidecar_core, a_set_reaches_nodes_that_cannot_read_the_store)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    fleet.publish(fakeSet(7), "b1");
    fleet.advance(seconds(2));
    for (const char *node : {"a1", "a2", "b1"})
        EXPECT_EQ(fleet.core(node).status(fleet.now()).configVersion, 7) << node;
}

// Guards against a node that serves an older set for long because it started while the store,
// restored from a copy, had lost the newest one.
TEST(sidecar_core, a_node_that_starts_with_an_older_set_gets_the_newer_one_from_its_peers)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    fleet.publishAll(fakeSet(9));
    fleet.restart("a1");
    fleet.publish(fakeSet(5), "a1");
    fleet.advance(seconds(2));
    EXPECT_EQ(fleet.core("a1").status(fleet.now()).configVersion, 9);
}

// Guards against a 504 at half of the timeout while the server is still working: a missing response
// is no reason to end an attempt. Such requests counted as LOST after SIGTERM.
TEST(sidecar_core, an_attempt_may_use_the_full_timeout)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id call = fleet.call("a1", "read");
    fleet.advance(milliseconds(900));
    EXPECT_EQ(fleet.status(call), 0);
    EXPECT_EQ(fleet.runs.size(), 1U);
    EXPECT_FALSE(fleet.runs[0].cancelled);
    fleet.finish(0);
    EXPECT_EQ(fleet.status(call), 200);
}

// Guards against cutting off requests that a restarted process has already begun: the link can
// report the restart after the membership did, when attempts have been sent to the new process.
TEST(sidecar_core, a_restart_ends_only_attempts_sent_to_the_earlier_process)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id sentToCurrent = fleet.call("a1", "read");
    ASSERT_EQ(fleet.runs.size(), 1U);
    const incarnation_id current = fleet.core("a2").status(fleet.now()).self.incarnation;
    fleet.runEvent("a1", [&](sidecar_core &core, action_list &out) {
        core.peerRestarted("a2", current, fleet.now(), out);
    });
    EXPECT_EQ(fleet.runs.size(), 1U);
    EXPECT_FALSE(fleet.runs[0].cancelled);
    fleet.finish(0);
    EXPECT_EQ(fleet.status(sentToCurrent), 200);

    const call_id sentToEarlier = fleet.call("a1", "read");
    ASSERT_EQ(fleet.runs.size(), 2U);
    fleet.runEvent("a1", [&](sidecar_core &core, action_list &out) {
        core.peerRestarted("a2", current + 100, fleet.now(), out);
    });
    EXPECT_EQ(fleet.status(sentToEarlier), 504); // The retry budget is still empty.
}

// Guards against a response that comes later than the timeout of the route.
TEST(sidecar_core, a_request_is_answered_when_its_timeout_expires)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id call = fleet.call("a1", "write");
    fleet.advance(milliseconds(1100));
    EXPECT_EQ(fleet.status(call), 504) << "it may have run";
}

// Guards against a second execution of a non-idempotent request.
TEST(sidecar_core, a_non_idempotent_request_is_not_sent_again_when_it_may_have_run)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id call = fleet.call("a1", "write");
    backend_result broken;
    broken.bytesSent = true;
    broken.connectionBroken = true;
    broken.response = tl::unexpected(error_kind::backend_failed);
    fleet.finish(0, broken);
    fleet.advance(milliseconds(200));
    EXPECT_EQ(fleet.runs.size(), 1U);
    EXPECT_EQ(fleet.status(call), 502);
}

// Guards against refusing a request that one server rejected while another has free slots.
TEST(sidecar_core, a_rejected_request_is_sent_to_another_server)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id call = fleet.call("a1", "write");
    ASSERT_EQ(fleet.runs.size(), 1U);
    // Every 20 requests add one retry to the budget.
    for (int request = 0; request < 40; ++request) {
        fleet.call("a1", "read");
        fleet.finish(fleet.runs.size() - 1);
    }
    const std::size_t before = fleet.runs.size();
    fleet.shed(0);
    ASSERT_EQ(fleet.runs.size(), before + 1);
    EXPECT_EQ(fleet.runs.back().node, "b1");
    fleet.finish(before);
    EXPECT_EQ(fleet.status(call), 200);
}

// Guards against a false promise: a server ran the request and responded with 503, and a second
// server rejected it.
TEST(sidecar_core, a_request_that_a_server_ran_is_not_reported_as_not_run)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    // Every 20 requests add one retry to the budget.
    for (std::size_t request = 0; request < 40; ++request) {
        fleet.call("a1", "read");
        fleet.finish(request);
    }
    const call_id call = fleet.call("a1", "read");
    const std::size_t first = fleet.runs.size() - 1;
    fleet.finish(first, 503);
    ASSERT_EQ(fleet.runs.size(), first + 2);
    fleet.shed(first + 1);
    EXPECT_EQ(fleet.status(call), 502);
    EXPECT_EQ(headerValue(fleet.responses[call].headers, "Tamarackridge-Run-State"), "unknown");
}

// Guards against executing idempotent requests of a caller that has disconnected.
TEST(sidecar_core, an_idempotent_request_is_cancelled_when_its_caller_leaves)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    fleet.disconnectCaller("a1", fleet.call("a1", "read"));
    ASSERT_EQ(fleet.runs.size(), 1U);
    EXPECT_TRUE(fleet.runs[0].cancelled);
    fleet.disconnectCaller("a1", fleet.call("a1", "write"));
    EXPECT_FALSE(fleet.runs[1].cancelled) << "it may have begun, and is not sent again";
}

// Guards against dispatching requests to a server whose notice of leaving was acknowledged.
TEST(sidecar_core, a_leaving_server_gets_no_new_work)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    ASSERT_TRUE(fleet.report("a2", 2, true));
    const call_id call = fleet.call("a1", "write");
    ASSERT_EQ(fleet.runs.size(), 1U);
    EXPECT_EQ(fleet.runs[0].node, "b1");
    fleet.finish(0);
    EXPECT_EQ(fleet.status(call), 200);
}

// Guards against a delayed report that makes a leaving server look ready.
TEST(sidecar_core, outdated_reports_have_no_effect)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    ASSERT_TRUE(fleet.report("a2", 6, true));
    EXPECT_FALSE(fleet.report("a2", 5, false));
    EXPECT_FALSE(fleet.report("a2", 6, false));
    EXPECT_FALSE(fleet.report("a2", 90, false, 0, "i-0")) << "of an earlier start";
    fleet.runEvent("a2", [&](sidecar_core &core, action_list &out) {
        core.serverLeaving("i-1", std::nullopt, fleet.now(), out);
    });
    fleet.report("a2", 7, false);
    fleet.call("a1", "read");
    EXPECT_EQ(fleet.runs.back().node, "b1");
    EXPECT_TRUE(fleet.report("a2", 1, false, 2)) << "a new start counts anew";
    fleet.advance(milliseconds(100));
    fleet.call("a1", "read");
    EXPECT_EQ(fleet.runs.back().node, "a2");
}

// Guards against a server that is used again after it has left, because the process that
// acknowledged its notice was replaced and the server goes on reporting that it is ready.
TEST(sidecar_core, a_leave_notice_holds_after_the_process_is_replaced)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    fleet.runEvent("a2", [&](sidecar_core &core, action_list &out) {
        core.serverLeaving("i-1", 1, fleet.now(), out);
    });
    for (int replacement = 0; replacement < 2; ++replacement) {
        fleet.advance(seconds(1));
        fleet.restart("a2");
        fleet.publish(fakeSet(5), "a2");
        fleet.advance(seconds(1));
        EXPECT_TRUE(fleet.report("a2", 10 + replacement)) << "acknowledged, without effect";
        fleet.advance(milliseconds(100));
        fleet.call("a1", "read");
        ASSERT_FALSE(fleet.runs.empty());
        EXPECT_EQ(fleet.runs.back().node, "b1");
        fleet.finish(fleet.runs.size() - 1);
    }
    EXPECT_TRUE(fleet.report("a2", 1, false, 2)) << "a new start";
    fleet.advance(milliseconds(100));
    fleet.call("a1", "read");
    EXPECT_EQ(fleet.runs.back().node, "a2");
}

// Guards against dispatching requests to a server whose leave notice reached a process that had
// just started and had no report yet; the server goes on reporting that it is ready. Found as DRAIN
// by tasas-scl trouble-3 --seed 853849742534.
TEST(sidecar_core, a_leave_notice_before_the_first_report_takes_effect)
{
    sidecar_fleet fleet = smallFleet();
    fleet.publishAll(fakeSet(5));
    ASSERT_TRUE(fleet.report("b1", 1));
    fleet.runEvent("a2", [&](sidecar_core &core, action_list &out) {
        core.serverLeaving("i-1", std::nullopt, fleet.now(), out);
    });
    fleet.report("a2", 25);
    fleet.advance(seconds(1));
    fleet.call("a1", "read");
    ASSERT_EQ(fleet.runs.size(), 1U);
    EXPECT_EQ(fleet.runs[0].node, "b1");
    EXPECT_TRUE(fleet.report("a2", 1, false, 2)) << "the next start is used";
    fleet.advance(milliseconds(100));
    fleet.call("a1", "read");
    EXPECT_EQ(fleet.runs.back().node, "a2");
}

// Guards against losing the requests of a crashed peer: idempotent ones are sent to another node.
TEST(sidecar_core, idempotent_requests_of_an_unresponsive_peer_go_to_another_node)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    for (int request = 0; request < 60; ++request) {
        fleet.call("a1", "read");
        fleet.finish(fleet.runs.size() - 1);
    }
    const call_id read = fleet.call("a1", "read");
    const call_id write = fleet.call("a1", "write");
    const std::size_t before = fleet.runs.size();
    fleet.isolatedNodes.insert("a2");
    fleet.runEvent("a1", [&](sidecar_core &core, action_list &out) {
        core.peerUnresponsive("a2", fleet.now(), out);
    });
    ASSERT_EQ(fleet.runs.size(), before + 1);
    EXPECT_EQ(fleet.runs.back().node, "b1");
    fleet.finish(before);
    EXPECT_EQ(fleet.status(read), 200);
    EXPECT_EQ(fleet.status(write), 0);
    fleet.advance(milliseconds(1200));
    EXPECT_EQ(fleet.status(write), 504);
}

// Guards against an error response while the server is still working: an unresponsive peer ends an
// attempt only if another attempt can begin. Found as LOST after SIGTERM by tasas-scl trouble-2.
TEST(sidecar_core, without_a_retry_left_a_request_waits_for_an_unresponsive_peer)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id read = fleet.call("a1", "read");
    fleet.runEvent("a1", [&](sidecar_core &core, action_list &out) {
        core.peerUnresponsive("a2", fleet.now(), out);
    });
    EXPECT_EQ(fleet.status(read), 0);
    EXPECT_FALSE(fleet.runs[0].cancelled);
    fleet.finish(0);
    EXPECT_EQ(fleet.status(read), 200);
}

// Guards against reporting an executed request as not run, and against refusing a request that was
// never sent.
TEST(sidecar_core, a_withdrawn_dispatch_goes_to_another_node)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    fleet.isolatedNodes.insert("a2");
    const call_id call = fleet.call("a1", "write");
    ASSERT_TRUE(fleet.runs.empty());
    fleet.runEvent("a1", [&](sidecar_core &core, action_list &out) {
        core.dispatchNotSent("a2", 1, fleet.now(), out);
    });
    ASSERT_EQ(fleet.runs.size(), 1U);
    EXPECT_EQ(fleet.runs[0].node, "b1");
    fleet.finish(0);
    EXPECT_EQ(fleet.status(call), 200);
}

// Guards against lowering the limit because a faulty server sheds requests: all 95 usable slots
// stay available.
TEST(sidecar_core, sheds_do_not_lower_the_limit_below_the_announced_slots)
{
    sidecar_fleet fleet({{"a1", "front"}, {"a2", "orders"}});
    fleet.publishAll(fakeSet(5));
    fleet.report("a2", 1);
    for (int round = 0; round < 40; ++round) {
        for (int request = 0; request < 120; ++request)
            fleet.call("a1", "read");
        while (!fleet.runs.empty()) {
            fleet.advance(milliseconds(20));
            const std::size_t count = fleet.runs.size();
            for (std::size_t run = 0; run < count; ++run)
                run % 2 == 0 ? fleet.finish(run) : fleet.shed(run);
            fleet.runs.erase(fleet.runs.begin(),
                             fleet.runs.begin() + static_cast<std::ptrdiff_t>(count));
        }
    }
    for (int request = 0; request < 300; ++request)
        fleet.call("a1", "read");
    fleet.advance(milliseconds(40));
    EXPECT_EQ(fleet.core("a2").status(fleet.now()).load.limit, 95U);
}

// Guards against queueing requests for a server with free slots. In fcn-mesh scale-1, a quarter of
// the requests of the first two seconds were refused while the limit grew from 8.
TEST(sidecar_core, all_usable_slots_of_a_server_are_used_from_the_start)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    for (int request = 0; request < 95; ++request)
        fleet.call("a1", "read");
    EXPECT_EQ(fleet.runs.size(), 95U);
}

// Guards against a shutdown that aborts running requests, and against a node that still reports
// ready while it shuts down.
TEST(sidecar_core, a_shutdown_completes_running_requests_and_reports_not_ready_immediately)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id call = fleet.call("a1", "read");
    beginShutdown(fleet, "a1", seconds(5));
    EXPECT_FALSE(fleet.core("a1").ready());
    const call_id late = fleet.call("a1", "read");
    fleet.advance(milliseconds(700));
    EXPECT_FALSE(fleet.core("a1").drained(fleet.now()));
    fleet.finish(0);
    fleet.finish(1);
    EXPECT_EQ(fleet.status(call), 200);
    EXPECT_EQ(fleet.status(late), 200);
    fleet.advance(seconds(3));
    EXPECT_TRUE(fleet.core("a1").drained(fleet.now()));
}

// Guards against requests that are admitted until a leaving process exits and end with it: callers
// that cannot switch to another node go on sending requests, and must be told when to come back.
TEST(sidecar_core, a_leaving_process_refuses_requests_once_callers_had_time_to_switch)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    beginShutdown(fleet, "a1", seconds(5));
    const call_id early = fleet.call("a1", "read");
    fleet.finish(0);
    EXPECT_EQ(fleet.status(early), 200);
    fleet.advance(milliseconds(2600));
    const call_id late = fleet.call("a1", "write");
    EXPECT_EQ(fleet.status(late), 503);
    EXPECT_EQ(headerValue(fleet.responses[late].headers, "Tamarackridge-Run-State"), "not-run");
    EXPECT_EQ(headerValue(fleet.responses[late].headers, "Retry-After"), "1.000");
    EXPECT_EQ(fleet.runs.size(), 1U);
    EXPECT_TRUE(fleet.core("a1").drained(fleet.now()));
}

// Guards against callers that use up their retry on a leaving process: one that comes back after
// the process stops admitting is refused again, whatever the first refusal was for.
TEST(sidecar_core, callers_that_are_refused_late_in_a_shutdown_return_to_the_next_process)
{
    sidecar_fleet fleet({{"a1", "front"}, {"a2", "orders"}});
    fleet.publishAll(fakeSet(5));
    ASSERT_TRUE(fleet.report("a2", 1));
    fleet.advance(seconds(1));
    beginShutdown(fleet, "a1", seconds(5));
    const call_id early = fleet.call("a1", "read");
    fleet.shed(0);
    EXPECT_EQ(fleet.status(early), 503);
    EXPECT_EQ(headerValue(fleet.responses[early].headers, "Retry-After"), "0.400");
    fleet.advance(milliseconds(2400));
    const call_id late = fleet.call("a1", "read");
    fleet.shed(1);
    EXPECT_EQ(fleet.status(late), 503);
    EXPECT_EQ(headerValue(fleet.responses[late].headers, "Retry-After"), "1.000");
}

// Guards against cutting off requests that were admitted late: their deadline, which the server
// keeps to, must be before the exit of the process.
TEST(sidecar_core, requests_admitted_during_a_shutdown_complete_before_the_process_exits)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    beginShutdown(fleet, "a1", milliseconds(1200));
    fleet.advance(milliseconds(400));
    const call_id call = fleet.call("a1", "write");
    ASSERT_EQ(fleet.runs.size(), 1U);
    EXPECT_EQ(headerValue(fleet.runs[0].request.headers, "Time-Left"), "600");
    fleet.advance(milliseconds(800));
    EXPECT_EQ(fleet.status(call), 504);
    EXPECT_TRUE(fleet.core("a1").drained(fleet.now()));
}

/// Adds the route `page` of service `front`, whose backend server runs beside `a1`, and the open
/// route `onward` of service `orders`.
void startWithOpenRoute(sidecar_fleet &fleet)
{
    published_set set = fakeSet(5);
    set.routes.push_back(fakes::fakeRoute("page", "front"));
    set.routes.back().timeout = seconds(10);
    set.routes.push_back(fakes::fakeRoute("onward", "orders"));
    set.routes.back().open = true;
    start(fleet, set);
}

// Guards against failing the requests that the local backend server is still running by refusing
// the onward calls that they make.
TEST(sidecar_core, onward_calls_are_admitted_during_a_shutdown)
{
    sidecar_fleet fleet = smallFleet();
    startWithOpenRoute(fleet);
    fleet.call("b1", "page");
    ASSERT_EQ(fleet.runs.size(), 1U);
    ASSERT_EQ(fleet.runs[0].node, "a1");
    beginShutdown(fleet, "a1", seconds(5));
    fleet.advance(milliseconds(4400));
    const call_id call = fleet.call("a1", "onward", "");
    ASSERT_EQ(fleet.runs.size(), 2U);
    fleet.finish(1);
    EXPECT_EQ(fleet.status(call), 200);
    fleet.advance(milliseconds(200));
    EXPECT_EQ(fleet.status(fleet.call("a1", "onward", "")), 503);
}

// Guards against admitting callers' requests on routes without a key until the process exits: they
// look like onward calls, keep the process from being idle, and get too little time to complete.
TEST(sidecar_core, callers_without_a_key_are_refused_late_in_a_shutdown)
{
    sidecar_fleet fleet = smallFleet();
    startWithOpenRoute(fleet);
    beginShutdown(fleet, "a1", seconds(5));
    const call_id early = fleet.call("a1", "onward", "");
    fleet.finish(0);
    EXPECT_EQ(fleet.status(early), 200);
    fleet.advance(milliseconds(2600));
    const call_id late = fleet.call("a1", "onward", "");
    EXPECT_EQ(fleet.status(late), 503);
    EXPECT_EQ(fleet.runs.size(), 1U);
    EXPECT_TRUE(fleet.core("a1").drained(fleet.now()));
}

// Guards against requests without a key that are taken late in a shutdown and cut off while a
// server is at work, since they look like onward calls of the running request: such a request needs
// as much time as the others of its route. Reported by other operators (LOST).
TEST(sidecar_core, requests_that_need_more_time_than_a_shutdown_has_left_are_refused)
{
    sidecar_fleet fleet = smallFleet();
    startWithOpenRoute(fleet);
    fleet.call("a1", "onward", "");
    fleet.advance(milliseconds(600));
    fleet.finish(0);
    fleet.call("b1", "page");
    ASSERT_EQ(fleet.runs.size(), 2U);
    ASSERT_EQ(fleet.runs[1].node, "a1");
    beginShutdown(fleet, "a1", seconds(5));
    fleet.advance(milliseconds(4000));
    const call_id inTime = fleet.call("a1", "onward", "");
    fleet.advance(milliseconds(400));
    const call_id late = fleet.call("a1", "onward", "");
    EXPECT_EQ(fleet.status(late), 503);
    EXPECT_EQ(headerValue(fleet.responses[late].headers, "Tamarackridge-Run-State"), "not-run");
    ASSERT_EQ(fleet.runs.size(), 3U);
    fleet.advance(milliseconds(200));
    fleet.finish(2);
    EXPECT_EQ(fleet.status(inTime), 200);
}

// Guards against cutting off late retries: a request from before the shutdown whose attempt was
// refused late must not begin to run again when the process is about to exit.
TEST(sidecar_core, requests_from_before_a_shutdown_are_not_retried_until_the_process_exits)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet, longTimeoutSet());
    // Every 20 requests add one retry to the budget.
    for (int request = 0; request < 80; ++request) {
        fleet.call("a1", "read");
        fleet.finish(fleet.runs.size() - 1);
    }
    const std::size_t first = fleet.runs.size();
    const call_id retriedInTime = fleet.call("a1", "write");
    const call_id refusedLate = fleet.call("a1", "write");
    const call_id neverRefused = fleet.call("a1", "write");
    ASSERT_EQ(fleet.runs.size(), first + 3);
    beginShutdown(fleet, "a1", seconds(5));
    fleet.advance(seconds(3));
    fleet.shed(first);
    ASSERT_EQ(fleet.runs.size(), first + 4);
    EXPECT_EQ(headerValue(fleet.runs.back().request.headers, "Time-Left"), "1800");
    fleet.advance(milliseconds(1900));
    EXPECT_EQ(fleet.status(retriedInTime), 504);
    fleet.shed(first + 1);
    EXPECT_EQ(fleet.runs.size(), first + 4);
    EXPECT_EQ(fleet.status(refusedLate), 503);
    EXPECT_EQ(headerValue(fleet.responses[refusedLate].headers, "Tamarackridge-Run-State"),
              "not-run");
    EXPECT_EQ(fleet.status(neverRefused), 0) << "an attempt keeps the time that it was given";
}

// Guards against refusing a request that waited at a leaving node: the node did not pass it to a
// backend server, so it is sent to another one even if the route allows a single attempt.
TEST(sidecar_core, a_request_that_waited_at_a_leaving_node_is_sent_to_another_server)
{
    sidecar_fleet fleet = smallFleet();
    published_set set = fakeSet(5);
    for (published_route &route : set.routes)
        route.attempts = 1;
    fleet.publishAll(set);
    for (const char *node : {"a1", "a2"})
        ASSERT_TRUE(fleet.report(node, 1));
    fleet.advance(seconds(1));
    for (int request = 0; request < 95; ++request)
        fleet.call("a1", "read");
    ASSERT_EQ(fleet.runs.size(), 95U);
    const call_id waiting = fleet.call("a1", "write");
    ASSERT_EQ(fleet.runs.size(), 95U) << "all usable slots of a2 are in use";
    ASSERT_TRUE(fleet.report("b1", 1));
    fleet.advance(milliseconds(100));
    ASSERT_EQ(fleet.status(waiting), 0);
    beginShutdown(fleet, "a2", seconds(5));
    ASSERT_EQ(fleet.runs.size(), 96U);
    EXPECT_EQ(fleet.runs.back().node, "b1");
    fleet.finish(95);
    EXPECT_EQ(fleet.status(waiting), 200);
}

// Guards against holding a caller until its deadline for a response that cannot come any more: the
// process that passed the request to a backend server has ended, for example at the time limit of
// its stop.
TEST(sidecar_core, a_request_that_must_not_be_repeated_ends_with_the_process_that_ran_it)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet, longTimeoutSet());
    const call_id call = fleet.call("a1", "write");
    ASSERT_EQ(fleet.runs.size(), 1U);
    ASSERT_EQ(fleet.runs[0].node, "a2");
    fleet.restart("a2");
    fleet.advance(milliseconds(100));
    EXPECT_EQ(fleet.status(call), 504) << "it may have run";
    EXPECT_EQ(fleet.runs.size(), 1U);
}

// Guards against requests that end with the process without a response and a line in the log.
TEST(sidecar_core, requests_in_progress_when_the_process_exits_are_answered_and_reported)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const call_id call = fleet.call("a1", "read");
    fleet.runEvent("a1", [&](sidecar_core &core, action_list &out) {
        core.endUnfinished(fleet.now(), out);
    });
    EXPECT_EQ(fleet.status(call), 502) << "it may have run";
    EXPECT_EQ(headerValue(fleet.responses[call].headers, "Tamarackridge-Run-State"), "unknown");
    EXPECT_EQ(fleet.observer("a1").statuses, std::vector<int>{502});
    EXPECT_EQ(fleet.observer("a1").errors, std::vector<std::string>{"leaving"});
    fleet.finish(0);
    EXPECT_EQ(fleet.observer("a1").statuses.size(), 1U);
}

// Guards against giving up a request on a mere suspicion when no other server could run it: the
// caller got 504 although its server was at work and responded in time.
TEST(sidecar_core, a_request_stays_on_a_suspected_node_when_no_other_has_its_service)
{
    sidecar_fleet fleet({{"a1", "front"}, {"a2", "orders"}});
    published_set set = fakeSet(5);
    set.routes.front().timeout = seconds(6);
    fleet.publishAll(set);
    ASSERT_TRUE(fleet.report("a2", 1));
    fleet.advance(seconds(1));
    // The retry budget of the service allows a retry only after many requests.
    for (std::size_t served = 0; served < 200; ++served) {
        fleet.call("a1", "read");
        fleet.finish(served);
    }
    const call_id call = fleet.call("a1", "read");
    ASSERT_EQ(fleet.runs.size(), 201U);
    fleet.isolatedNodes = {"a2"};
    fleet.advance(milliseconds(2700)); // Suspected after 2 s of silence, declared dead after 4 s.
    EXPECT_EQ(fleet.status(call), 0);
    fleet.isolatedNodes.clear();
    fleet.advance(seconds(1));
    EXPECT_FALSE(fleet.runs.back().cancelled);
    fleet.finish(200);
    EXPECT_EQ(fleet.status(call), 200);
}

// Guards against a response that is addressed to an earlier process of the caller's node: other
// nodes pass its last entry on for a while after the restart, and the new process drops what is not
// for it.
TEST(sidecar_core, a_response_goes_to_the_process_that_sent_the_request)
{
    sidecar_fleet fleet = smallFleet();
    start(fleet);
    const node_ref earlier = fleet.core("a1").status(fleet.now()).self;
    fleet.restart("a1");
    fleet.publish(fakeSet(6), "a1");
    ASSERT_TRUE(fleet.report("a1", 2));
    fleet.advance(seconds(1));
    member entry;
    entry.node = earlier;
    entry.counter = 100;
    entry.endpoint = "a1:7000";
    entry.state = member_state::serving;
    const node_ref sender = fleet.core("b1").status(fleet.now()).self;
    fleet.runEvent("a2", [&](sidecar_core &core, action_list &out) {
        core.peerMessage(sender, entries{{encodeMember(entry)}}, fleet.now(), out);
    });
    const call_id call = fleet.call("a1", "read");
    ASSERT_EQ(fleet.runs.size(), 1U);
    EXPECT_EQ(fleet.runs[0].node, "a2");
    fleet.finish(0);
    EXPECT_EQ(fleet.status(call), 200);
}

} // namespace
} // namespace tamarackridge
