#include "fakes/sidecar_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::fakeSet;
using fakes::sidecar_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fleet in which `a1` has callers and `a2`, `b1`, `c1` and `d1` have servers that can crash.
class sidecar_quarantine : public ::testing::Test
{
protected:
    sidecar_quarantine()
        : m_fleet({{"a1", "front"},
                   {"a2", "orders"},
                   {"b1", "orders"},
                   {"c1", "orders"},
                   {"d1", "orders"}})
    {
        m_fleet.publishAll(fakeSet(5));
        for (const char *node : {"a1", "a2", "b1", "c1", "d1"})
            EXPECT_TRUE(m_fleet.report(node, 1));
        m_fleet.advance(seconds(1));
    }

    static backend_result endedBy(error_kind error)
    {
        backend_result result;
        result.bytesSent = true;
        result.connectionBroken = error == error_kind::backend_failed;
        result.response = tl::unexpected(error);
        return result;
    }

    /// Ends the runs from \a first on in a crash of their servers, which are back after \a
    /// downtime. \returns the number of servers that crashed.
    std::size_t crashServersOf(std::size_t first, bool refusesConnections = true,
                               error_kind error = error_kind::backend_failed,
                               duration downtime = seconds(3))
    {
        std::set<std::string> crashed;
        // A retry can run on another server, which then crashes as well.
        for (; first < m_fleet.runs.size(); ++first) {
            const std::string node = m_fleet.runs[first].node;
            crashed.insert(node);
            m_fleet.finish(first, endedBy(error));
            m_fleet.advance(milliseconds(20));
            if (refusesConnections) {
                m_fleet.runEvent(node, [&](sidecar_core &core, action_list &out) {
                    core.backendCrashed(m_fleet.now(), out);
                });
            }
            m_fleet.advance(milliseconds(100));
        }
        m_fleet.advance(downtime);
        ++m_start;
        for (const std::string &node : crashed)
            EXPECT_TRUE(m_fleet.report(node, 1, false, m_start, "i-" + std::to_string(m_start)));
        m_fleet.advance(milliseconds(500));
        return crashed.size();
    }

    /// Sends a request that crashes the servers that run it. \returns the number of crashes.
    std::size_t crashesOfCall(const std::string &node, const std::string &target)
    {
        const std::size_t first = m_fleet.runs.size();
        m_fleet.callTarget(node, target);
        return crashServersOf(first);
    }

    /// Sends a request that crashes the servers that run it, from one node after the other.
    /// \returns the number of crashes.
    std::size_t crashesOfRepeatedRequest(const std::string &route, bool refusesConnections = true,
                                         error_kind error = error_kind::backend_failed)
    {
        std::size_t crashes = 0;
        for (int send = 0; send < 8; ++send) {
            const std::size_t first = m_fleet.runs.size();
            m_lastCall = m_fleet.call(
                    m_callers.at(static_cast<std::size_t>(send) % m_callers.size()), route);
            crashes += crashServersOf(first, refusesConnections, error);
        }
        return crashes;
    }

    /// Replaces the process of \a node and starts its server anew.
    void restart(const std::string &node)
    {
        m_fleet.restart(node);
        m_fleet.publish(fakeSet(5), node);
        m_fleet.advance(seconds(1));
        ++m_start;
        EXPECT_TRUE(m_fleet.report(node, 1, false, m_start, "i-" + std::to_string(m_start)));
        m_fleet.advance(seconds(1));
    }
    /// Kills all processes at once and lets the new ones read the configuration and a report.
    void restartAll()
    {
        m_fleet.restartAll();
        m_fleet.publishAll(fakeSet(5));
        m_fleet.advance(seconds(1));
        ++m_start;
        for (const std::string &node : m_callers)
            EXPECT_TRUE(m_fleet.report(node, 1, false, m_start, "i-" + std::to_string(m_start)));
        m_fleet.advance(seconds(1));
    }

    const std::vector<std::string> m_callers{"a1", "b1", "c1", "d1", "a2"};
    sidecar_fleet m_fleet;
    call_id m_lastCall = 0;

private:
    std::int64_t m_start = 1;
};

} // namespace

// Guards against a request that ends one server after the other: the connections of its runs break
// before the crash is noticed, so that the crash was attributed to no request.
TEST_F(sidecar_quarantine,
       a_crash_is_attributed_to_runs_whose_connections_broke_before_it_was_noticed)
{
    EXPECT_LE(crashesOfRepeatedRequest("write"), 2U);
    EXPECT_EQ(m_fleet.status(m_lastCall), 503);
}

// Guards against the same with a server that is back before anything connects to it, so that only
// its next heartbeat shows the crash.
TEST_F(sidecar_quarantine, a_crash_that_only_a_heartbeat_shows_is_attributed_to_interrupted_runs)
{
    EXPECT_LE(crashesOfRepeatedRequest("write", false), 2U);
}

// Guards against the same with a server that falls silent, whose runs end by their deadlines.
TEST_F(sidecar_quarantine, a_silent_crash_is_attributed_to_runs_that_got_no_response)
{
    EXPECT_LE(crashesOfRepeatedRequest("write", false, error_kind::backend_timeout), 2U);
}

// Guards against a retry that ends a second server before the crash of the first one is known.
TEST_F(sidecar_quarantine, retries_of_an_idempotent_request_end_no_more_servers)
{
    EXPECT_LE(crashesOfRepeatedRequest("read"), 2U);
}

// Guards against a request that ends a server once for each name that its route gets, and once for
// each key of its customer.
TEST_F(sidecar_quarantine, a_renamed_route_or_another_key_does_not_make_it_another_request)
{
    std::size_t crashes = 0;
    for (std::int64_t version = 6; version < 14; ++version) {
        published_set set = fakeSet(version);
        set.routes.back().name = "write-" + std::to_string(version);
        m_fleet.publishAll(set);
        const std::size_t first = m_fleet.runs.size();
        m_fleet.call("a1", "write", version % 2 == 0 ? "key-1" : "key-2");
        crashes += crashServersOf(first);
    }
    EXPECT_LE(crashes, 2U);
}

// Guards against a request that ends a server for each query with which it comes: path, customer
// and body make it the same request.
TEST_F(sidecar_quarantine, another_query_does_not_make_it_another_request)
{
    std::size_t crashes = 0;
    for (std::size_t send = 0; send < 8; ++send)
        crashes += crashesOfCall(m_callers.at(send % m_callers.size()),
                                 "/read/1?page=" + std::to_string(send) + "&sort=new");
    EXPECT_LE(crashes, 3U);
}

// Guards against requests that are refused since another query of their path crashed servers.
TEST_F(sidecar_quarantine, other_queries_of_the_path_are_served_beside_a_quarantined_one)
{
    EXPECT_LE(crashesOfRepeatedRequest("read"), 2U);
    for (int page = 1; page < 5; ++page) {
        const std::size_t next = m_fleet.runs.size();
        const call_id call = m_fleet.callTarget("b1", "/read/1?page=" + std::to_string(page));
        ASSERT_EQ(m_fleet.runs.size(), next + 1);
        m_fleet.finish(next);
        EXPECT_EQ(m_fleet.status(call), 200);
    }
    EXPECT_EQ(m_fleet.status(m_fleet.call("c1", "read")), 503) << "still quarantined";
}

// Guards against a kill of all processes that makes them forget which requests crash servers.
TEST_F(sidecar_quarantine, a_kill_of_all_processes_releases_no_quarantined_request)
{
    EXPECT_LE(crashesOfRepeatedRequest("write"), 2U);
    for (int kill = 0; kill < 3; ++kill) {
        restartAll();
        EXPECT_EQ(crashesOfRepeatedRequest("write"), 0U);
    }
}

// Guards against kills that come after each crash, so that the second one is never attributed.
TEST_F(sidecar_quarantine, a_kill_of_all_processes_after_each_crash_releases_no_suspect)
{
    std::size_t crashes = 0;
    for (std::size_t send = 0; send < 8; ++send) {
        crashes += crashesOfCall(m_callers.at(send % m_callers.size()), "/write/1?x=2");
        restartAll();
    }
    EXPECT_LE(crashes, 2U);
}

// Guards against a quarantine that only the node which saw the crash can record, while it does not
// reach the store.
TEST_F(sidecar_quarantine, other_nodes_record_the_quarantine_if_the_one_beside_the_crash_cannot)
{
    for (const std::string &node : m_callers) {
        SCOPED_TRACE(node);
        m_fleet.nodesWithoutStore = {node};
        const std::string target = "/write/" + node;
        std::size_t crashes = 0;
        for (int send = 0; send < 4; ++send)
            crashes += crashesOfCall(node, target);
        EXPECT_LE(crashes, 2U);
        m_fleet.nodesWithoutStore.clear();
        restartAll();
        const std::size_t before = m_fleet.runs.size();
        for (const std::string &caller : m_callers)
            m_fleet.callTarget(caller, target);
        EXPECT_EQ(m_fleet.runs.size(), before);
    }
}

// Guards against the same after kills of a part of the nodes, one part after the other, while the
// store is away: those that are left pass on what they know.
TEST_F(sidecar_quarantine, kills_of_some_nodes_while_the_store_is_away_release_no_request)
{
    m_fleet.nodesWithoutStore = {m_callers.begin(), m_callers.end()};
    EXPECT_LE(crashesOfRepeatedRequest("write"), 2U);
    for (const std::vector<std::string> &killed : std::vector<std::vector<std::string>>{
                 {"a1", "a2"}, {"b1", "c1", "d1"}, {"a2"}, {"a1", "b1", "c1", "d1"}}) {
        for (const std::string &node : killed)
            m_fleet.restart(node);
        for (const std::string &node : killed)
            restart(node);
        EXPECT_EQ(crashesOfRepeatedRequest("write"), 0U);
    }
}

// Guards against servers that are used before the crashes are known since the store is away after a
// kill of all processes, and against servers that stay unused when it is back.
TEST_F(sidecar_quarantine, no_server_is_used_after_a_kill_of_all_processes_until_the_store_is_read)
{
    EXPECT_LE(crashesOfRepeatedRequest("write"), 2U);
    m_fleet.nodesWithoutStore = {m_callers.begin(), m_callers.end()};
    restartAll();
    const std::size_t before = m_fleet.runs.size();
    for (const std::string &node : m_callers)
        m_fleet.call(node, "write");
    m_fleet.callTarget("a1", "/write/other");
    EXPECT_EQ(m_fleet.runs.size(), before);
    m_fleet.nodesWithoutStore.clear();
    for (const std::string &node : m_callers)
        m_fleet.readDepartures(node);
    m_fleet.advance(seconds(1));
    m_fleet.callTarget("a1", "/write/other");
    EXPECT_EQ(m_fleet.runs.size(), before);
    for (const std::string &node : m_callers)
        m_fleet.readCrashes(node);
    m_fleet.advance(seconds(1));
    for (const std::string &node : m_callers)
        m_fleet.call(node, "write");
    EXPECT_EQ(m_fleet.runs.size(), before);
    const call_id other = m_fleet.callTarget("a1", "/write/other");
    ASSERT_EQ(m_fleet.runs.size(), before + 1);
    m_fleet.finish(before);
    EXPECT_EQ(m_fleet.status(other), 200);
}

// Guards against a node that starts again without the store and does not know what the others have
// read from it after a kill of all processes: quarantined requests and suspects.
TEST_F(sidecar_quarantine, nodes_that_start_without_the_store_learn_what_the_others_have_read)
{
    EXPECT_LE(crashesOfRepeatedRequest("write"), 2U);
    std::size_t crashes = crashesOfCall("a1", "/write/suspect");
    EXPECT_EQ(crashes, 1U);
    restartAll();
    m_fleet.nodesWithoutStore = {m_callers.begin(), m_callers.end()};
    for (const std::string &node : m_callers)
        restart(node);
    const std::size_t before = m_fleet.runs.size();
    for (const std::string &node : m_callers)
        m_fleet.call(node, "write");
    EXPECT_EQ(m_fleet.runs.size(), before);
    for (const std::string &node : m_callers)
        crashes += crashesOfCall(node, "/write/suspect");
    EXPECT_LE(crashes, 2U);
}

// Guards against a VM that is lost together with its server: its node takes the record of the crash
// with it, which must not keep the later crashes from being attributed.
TEST_F(sidecar_quarantine, a_vm_that_is_lost_with_its_server_costs_one_more_crash)
{
    std::size_t crashes = 0;
    for (std::size_t send = 0; send < 8; ++send) {
        const std::size_t first = m_fleet.runs.size();
        m_fleet.call(m_callers.at(send % m_callers.size()), "write");
        if (send != 0 || m_fleet.runs.size() == first) {
            crashes += crashServersOf(first);
            continue;
        }
        ++crashes;
        restart(m_fleet.runs[first].node);
    }
    EXPECT_LE(crashes, 3U);
}

// Guards against refusing requests that ran beside crashes of servers that they did not cause, with
// kills of all processes between.
TEST_F(sidecar_quarantine, requests_that_crashed_nothing_are_served_after_crashes_and_kills)
{
    constexpr std::size_t neighbours = 5;
    const auto target = [](std::size_t number) { return "/write/" + std::to_string(number); };
    for (int round = 0; round < 3; ++round) {
        const std::size_t first = m_fleet.runs.size();
        for (std::size_t number = 0; number < neighbours; ++number)
            m_fleet.callTarget("a1", target(number));
        crashServersOf(first);
        restartAll();
        for (std::size_t number = 0; number < neighbours; ++number) {
            const std::size_t next = m_fleet.runs.size();
            const call_id call = m_fleet.callTarget("b1", target(number));
            ASSERT_EQ(m_fleet.runs.size(), next + 1);
            m_fleet.finish(next);
            EXPECT_EQ(m_fleet.status(call), 200);
        }
        restartAll();
    }
}

// Guards against a node that runs a quarantined request because it has started, or was cut off,
// after the request was quarantined.
TEST_F(sidecar_quarantine, nodes_that_start_or_return_refuse_what_the_others_have_quarantined)
{
    m_fleet.isolatedNodes = {"d1"};
    m_fleet.advance(seconds(5));
    EXPECT_LE(crashesOfRepeatedRequest("write"), 4U) << "two on either side of the cut";
    m_fleet.isolatedNodes.clear();
    m_fleet.advance(seconds(3));
    const std::size_t before = m_fleet.runs.size();
    for (const std::string &node : m_callers) {
        m_fleet.restart(node);
        m_fleet.publish(fakeSet(5), node);
        EXPECT_TRUE(m_fleet.report(node, 1000, false, 1000, "i-1000"));
        m_fleet.advance(seconds(1));
        m_fleet.call(node, "write");
    }
    EXPECT_EQ(m_fleet.runs.size(), before);
}

// Guards against healthy requests that fail because they ran beside one that crashed their server:
// they are suspects, too, and must not run beside each other.
TEST_F(sidecar_quarantine, suspects_wait_for_each_other_instead_of_being_refused)
{
    constexpr std::size_t neighbours = 5;
    const auto target = [](std::size_t number) { return "/write/" + std::to_string(number); };
    for (std::size_t number = 0; number < neighbours; ++number)
        m_fleet.callTarget("a1", target(number));
    ASSERT_EQ(m_fleet.runs.size(), neighbours);
    crashServersOf(0);
    std::vector<call_id> calls;
    for (std::size_t number = 0; number < neighbours; ++number)
        calls.push_back(m_fleet.callTarget("b1", target(number)));
    for (std::size_t next = neighbours; next < 2 * neighbours; ++next) {
        ASSERT_EQ(m_fleet.runs.size(), next + 1);
        EXPECT_EQ(m_fleet.runs[next].node, "b1");
        m_fleet.advance(milliseconds(100));
        m_fleet.finish(next);
    }
    for (call_id call : calls)
        EXPECT_EQ(m_fleet.status(call), 200);
}

// Guards against suspects that wait beyond their deadline, or for a server that has gone.
TEST_F(sidecar_quarantine, waiting_suspects_are_refused_when_they_cannot_run_any_more)
{
    for (const char *target : {"/write/1", "/write/2", "/write/3"})
        m_fleet.callTarget("a1", target);
    crashServersOf(0);
    m_fleet.callTarget("b1", "/write/1");
    const call_id expiring = m_fleet.callTarget("b1", "/write/2");
    m_fleet.advance(milliseconds(1100)); // The timeout of the route is 1 s.
    EXPECT_EQ(m_fleet.status(expiring), 503);
    EXPECT_EQ(m_fleet.runs.size(), 4U);
    const call_id left = m_fleet.callTarget("b1", "/write/3");
    EXPECT_TRUE(m_fleet.report("b1", 2, true));
    m_fleet.advance(milliseconds(100));
    EXPECT_EQ(m_fleet.runs.size(), 5U) << "on the server of another node";
    m_fleet.finish(4);
    EXPECT_EQ(m_fleet.status(left), 200);
}

// Guards against suspecting requests whose connection broke without a crash: the server goes on
// responding, and crashes later for another reason.
TEST_F(sidecar_quarantine, a_broken_connection_is_no_crash_when_the_server_goes_on_responding)
{
    m_fleet.call("a1", "write");
    m_fleet.finish(0, endedBy(error_kind::backend_failed));
    const call_id later = m_fleet.call("a1", "read");
    ASSERT_EQ(m_fleet.runs.back().node, m_fleet.runs[0].node);
    m_fleet.finish(1);
    EXPECT_EQ(m_fleet.status(later), 200);
    m_fleet.runEvent(m_fleet.runs[0].node, [&](sidecar_core &core, action_list &out) {
        core.backendCrashed(m_fleet.now(), out);
    });
    const std::vector<std::string> &states = m_fleet.observer(m_fleet.runs[0].node).knownStates;
    EXPECT_EQ(std::ranges::count(states, "crash of i-1: 0 requests suspected, 0 quarantined "
                                         "(interrupted runs)"),
              1);
}

} // namespace tamarackridge
