#include "fakes/sidecar_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::fakeSet;
using fakes::sidecar_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fleet in which `a1` has callers and `a2` and `b1` have servers that name a limit of their rate.
class sidecar_server_condition : public ::testing::Test
{
protected:
    sidecar_server_condition()
        : m_fleet({{"a1", "front"}, {"a2", "orders"}, {"b1", "orders"}})
    {
        m_fleet.publishAll(fakeSet(5));
        for (const char *node : {"a1", "a2", "b1"})
            EXPECT_TRUE(m_fleet.report(node, 1));
        m_fleet.advance(seconds(1));
    }

    static server_condition limited(double rate)
    {
        return {server_condition::rate_statement::limited, rate, false};
    }
    static server_condition leaving()
    {
        return {server_condition::rate_statement::unlimited, 0, true};
    }

    void respond(std::size_t run, const server_condition &condition, int status = 200)
    {
        backend_result result;
        result.bytesSent = true;
        http_response response;
        response.status = status;
        if (condition.leaving)
            response.headers.push_back({"Server-Leaves", "1"});
        result.response = response;
        result.condition = condition;
        m_fleet.finish(run, std::move(result));
    }

    /// Callers of \a from send \a rate requests per second for \a time; servers respond after 100
    /// ms.
    void load(const std::string &from, double rate, duration time,
              const std::function<server_condition()> &condition)
    {
        constexpr milliseconds step(20);
        double due = 0;
        for (duration elapsed{}; elapsed < time; elapsed += step) {
            for (due += rate * 0.02; due >= 1; --due)
                m_fleet.call(from, "write");
            advance(step, condition);
        }
    }

    void advance(duration time, const std::function<server_condition()> &condition)
    {
        m_fleet.advance(time);
        for (; m_starts.size() < m_fleet.runs.size();)
            m_starts.push_back({m_fleet.runs[m_starts.size()].node, m_fleet.now(), false});
        for (; m_responded < m_starts.size()
               && m_fleet.now() - m_starts[m_responded].at >= milliseconds(100);
             ++m_responded)
            if (!m_starts[m_responded].lost)
                respond(m_responded, condition());
    }

    /// Callers of `a1` send requests for 2 s, while the heartbeats of the server of `a2` go on.
    void expectRequestsRunOn(const std::string &node)
    {
        const std::size_t first = m_fleet.runs.size();
        for (int request = 0; request < 100; ++request) {
            m_fleet.call("a1", "write");
            m_fleet.advance(milliseconds(20));
            EXPECT_TRUE(m_fleet.report("a2", 101 + request));
        }
        EXPECT_GT(m_fleet.runs.size(), first);
        for (std::size_t run = first; run < m_fleet.runs.size(); ++run)
            EXPECT_EQ(m_fleet.runs[run].node, node);
    }

    /// \returns the most runs that began on \a node in any 4 s from \a from on.
    std::size_t mostInFourSeconds(const std::string &node, time_point from) const
    {
        std::size_t most = 0;
        for (const run_start &first : m_starts) {
            const auto inWindow = [&](const run_start &start) {
                return start.node == node && start.at >= first.at
                       && start.at < first.at + seconds(4);
            };
            if (first.at >= from)
                most = std::max(
                        most, static_cast<std::size_t>(std::ranges::count_if(m_starts, inWindow)));
        }
        return most;
    }
    /// The users' bound for 4 s.
    static std::size_t allowed(double rate)
    {
        return static_cast<std::size_t>(std::floor(1.5 * 4 * rate + 5));
    }

    struct run_start
    {
        std::string node;
        time_point at;
        bool lost = false; ///< The process that sent it to the server has ended.
    };
    std::vector<run_start> m_starts;
    std::size_t m_responded = 0;
    sidecar_fleet m_fleet;
};

} // namespace

// Guards against a server that gets more requests than the limit that it names in its responses,
// and against using less than the limit while requests are refused.
TEST_F(sidecar_server_condition, a_server_gets_no_more_than_the_rate_that_it_names)
{
    const auto condition = [] { return limited(20); };
    load("a1", 150, seconds(10), condition);
    const time_point from = m_fleet.now() - seconds(7);
    for (const char *node : {"a2", "b1"}) {
        EXPECT_LE(mostInFourSeconds(node, from), allowed(20)) << node;
        EXPECT_GE(mostInFourSeconds(node, from), 70U) << node;
    }
}

// Guards against a burst when the node beside a limited server has been restarted and has not seen
// a response yet.
TEST_F(sidecar_server_condition, a_restarted_node_does_not_exceed_a_limit_that_it_has_not_seen)
{
    const auto condition = [] { return limited(5); };
    load("a1", 400, seconds(6), condition);
    const time_point from = m_fleet.now() - seconds(3);
    for (int restart = 0; restart < 3; ++restart) {
        for (run_start &start : m_starts)
            start.lost = start.lost || start.node == "a2";
        m_fleet.restart("a2");
        m_fleet.publish(fakeSet(5), "a2");
        EXPECT_TRUE(m_fleet.report("a2", 100 + restart));
        load("a1", 400, seconds(6), condition);
    }
    EXPECT_LE(mostInFourSeconds("a2", from), allowed(5));
    EXPECT_GE(mostInFourSeconds("a2", from), 15U);
}

// Guards against a limit that outlives the need: a later response or a new start of the server ends
// it, and a late response of the earlier start does not set it again.
TEST_F(sidecar_server_condition, a_limit_ends_with_the_responses_that_name_it_and_with_the_server)
{
    load("a1", 100, seconds(4), [] { return limited(5); });
    const std::size_t before = m_starts.size();
    load("a1", 100, seconds(4), [] { return server_condition{}; });
    EXPECT_GE(m_starts.size() - before, 300U);

    load("a1", 100, seconds(2), [] { return limited(5); });
    const std::size_t last = m_fleet.runs.size();
    m_fleet.call("a1", "write");
    for (const char *node : {"a2", "b1"})
        EXPECT_TRUE(m_fleet.report(node, 1, false, 2, "i-2"));
    for (std::size_t run = last; run < m_fleet.runs.size(); ++run)
        respond(run, limited(5));
    m_responded = m_fleet.runs.size();
    advance({}, [] { return server_condition{}; });
    const std::size_t restarted = m_starts.size();
    load("a1", 100, seconds(4), [] { return server_condition{}; });
    EXPECT_GE(m_starts.size() - restarted, 300U);
}

// Guards against a server that names a limit of nothing and is never asked again.
TEST_F(sidecar_server_condition, a_limit_of_nothing_is_asked_again_from_time_to_time)
{
    const auto none = [] { return limited(0); };
    load("a1", 50, seconds(10), none);
    EXPECT_LE(mostInFourSeconds("a2", m_fleet.now() - seconds(7)), allowed(0));
    const std::size_t before = m_starts.size();
    load("a1", 50, seconds(10), [] { return server_condition{}; });
    EXPECT_GE(m_starts.size() - before, 250U);
}

// Guards against a limit that cannot be decoded and lifts the one in force.
TEST_F(sidecar_server_condition, a_malformed_limit_changes_nothing)
{
    load("a1", 100, seconds(4), [] { return limited(5); });
    const time_point from = m_fleet.now();
    load("a1", 100, seconds(5), [] {
        return server_condition{server_condition::rate_statement::malformed, 0, false};
    });
    EXPECT_LE(mostInFourSeconds("a2", from), allowed(5));
}

// Guards against requests to a server that says in its responses that it leaves, while its
// heartbeats still say that it serves.
TEST_F(sidecar_server_condition, a_server_that_says_it_leaves_gets_no_further_requests)
{
    m_fleet.call("a1", "write");
    ASSERT_EQ(m_fleet.runs.at(0).node, "a2");
    respond(0, leaving());
    EXPECT_TRUE(m_fleet.report("a2", 2));
    for (std::size_t run = 1; run <= 20; ++run) {
        const call_id call = m_fleet.call(run % 2 == 0 ? "a1" : "a2", "write");
        ASSERT_EQ(m_fleet.runs.size(), run + 1);
        EXPECT_EQ(m_fleet.runs[run].node, "b1");
        respond(run, {});
        EXPECT_EQ(m_fleet.status(call), 200);
        m_fleet.advance(milliseconds(300));
        EXPECT_TRUE(m_fleet.report("a2", 2 + static_cast<std::int64_t>(run)));
    }
    // A new start at the same address has not said that it leaves.
    EXPECT_TRUE(m_fleet.report("a2", 1, false, 2, "i-2"));
    m_fleet.advance(milliseconds(100));
    m_fleet.call("a1", "write");
    EXPECT_EQ(m_fleet.runs.back().node, "a2");
}

// Guards against a node that forgets, when it is restarted, that the server beside it leaves.
TEST_F(sidecar_server_condition,
       a_leaving_server_gets_no_requests_after_the_node_beside_it_restarts)
{
    m_fleet.call("a1", "write");
    ASSERT_EQ(m_fleet.runs.at(0).node, "a2");
    respond(0, leaving());
    m_fleet.advance(seconds(1));
    // The new process gets reports of its server before it hears of any peer.
    m_fleet.isolatedNodes = {"a2"};
    m_fleet.restart("a2");
    m_fleet.publish(fakeSet(5), "a2");
    EXPECT_TRUE(m_fleet.report("a2", 100));
    m_fleet.advance(milliseconds(100));
    m_fleet.isolatedNodes.clear();
    expectRequestsRunOn("b1");
}

// Guards against a node that ends when it has passed the response on, but has announced nothing:
// the caller's node is then the only one that knows.
TEST_F(sidecar_server_condition, a_leaving_server_gets_no_requests_if_only_the_callers_node_knows)
{
    m_fleet.call("a1", "write");
    ASSERT_EQ(m_fleet.runs.at(0).node, "a2");
    m_fleet.isLost = [](const std::string &from, const send_peer &message) {
        return from == "a2" && std::holds_alternative<entries>(message.message);
    };
    respond(0, leaving());
    m_fleet.isLost = [](const std::string &, const send_peer &) { return false; };
    m_fleet.restart("a2");
    m_fleet.publish(fakeSet(5), "a2");
    EXPECT_TRUE(m_fleet.report("a2", 100));
    m_fleet.advance(seconds(2));
    expectRequestsRunOn("b1");
}

// Guards against a late response of an earlier start, by which a new server seems to leave.
TEST_F(sidecar_server_condition, a_response_of_an_earlier_start_does_not_make_a_new_one_leave)
{
    m_fleet.call("a1", "write");
    ASSERT_EQ(m_fleet.runs.at(0).node, "a2");
    EXPECT_TRUE(m_fleet.report("a2", 1, false, 2, "i-2"));
    respond(0, leaving());
    m_fleet.advance(milliseconds(100));
    m_fleet.call("a1", "write");
    EXPECT_EQ(m_fleet.runs.back().node, "a2");
}

} // namespace tamarackridge
