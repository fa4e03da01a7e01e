#include "tamarackridge/routing"

#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

router_options optionsFor(const std::string &node)
{
    router_options options;
    options.node = node;
    options.zone = "north";
    return options;
}

class routing_choice : public testing::Test
{
protected:
    void add(const std::string &node, const std::string &zone, duration linkDelay = 0ms)
    {
        m_routes.upsertExecutor({node, zone, "booking", executor_state::serving, linkDelay});
    }

    std::string choose(std::uint8_t rank = 5, const std::vector<std::string> &excluded = {})
    {
        return std::string(m_routes.choose("booking", rank, excluded, m_now, m_random)
                                   .value_or(std::string_view()));
    }

    /// Dispatches requests to the named executor and ends each with \a outcome after \a latency.
    void respond(const std::string &node, duration latency, run_outcome outcome, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            m_routes.onDispatched(node, m_now);
            m_now += latency;
            m_routes.onResponse(node, latency, outcome, nullptr, m_now);
        }
    }

    std::map<std::string, int> countChoices(int requests, std::uint8_t rank = 5)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < requests; ++i)
            ++counts[choose(rank)];
        return counts;
    }

    void shedBelow(const std::string &node, std::uint8_t threshold)
    {
        m_routes.onHeartbeat(node, {threshold, 10, 10, 0});
    }

    time_point m_now{1h};
    seeded_random m_random{20261204};
    router m_routes{optionsFor("own")};
};

} // namespace

// Guards against traffic to other zones while the local zone serves, through which a failure in one
// zone would affect all zones.
TEST_F(routing_choice, StaysInTheLocalZoneWhileItServes)
{
    add("n1", "north");
    add("n2", "north");
    add("s1", "south", 1ms);
    for (const char *node : {"n1", "n2", "s1"})
        respond(node, 20ms, run_outcome::success, 20);
    EXPECT_EQ(countChoices(200).count("s1"), 0U);
    add("n3", "north");
    for (const char *node : {"n1", "n3"})
        respond(node, 100ms, run_outcome::success, 50);
    for (const char *node : {"n2", "s1"})
        respond(node, 20ms, run_outcome::success, 20);
    EXPECT_EQ(countChoices(200).count("s1"), 0U) << "n2 of the local zone is still fast";
}

// Guards against requests that stay in the local zone although its servers refuse them, are ejected
// or are slow.
TEST_F(routing_choice, SpillsOverWhenTheLocalZoneRefusesIsEjectedOrIsSlow)
{
    add("n1", "north");
    add("s1", "south", 1ms);
    respond("n1", 20ms, run_outcome::success, 20);
    respond("s1", 20ms, run_outcome::success, 20);
    shedBelow("n1", 6);
    EXPECT_EQ(choose(5), "s1");
    EXPECT_EQ(choose(6), "n1");
    shedBelow("n1", 0);
    respond("n1", 100ms, run_outcome::success, 50);
    EXPECT_EQ(choose(), "s1");
    respond("n1", 20ms, run_outcome::success, 50);
    // Without a recent response, s1 would be tried because its estimate is old.
    respond("s1", 20ms, run_outcome::success);
    EXPECT_EQ(choose(), "n1");
    respond("n1", 20ms, run_outcome::failed, 5);
    EXPECT_EQ(choose(), "s1");
}

// Guards against sending requests to a server that will refuse them, and against never detecting
// that the shed threshold has fallen. Requests of a higher rank must still be sent meanwhile.
TEST_F(routing_choice, RefusesShedRanksAndProbesWithOnePercent)
{
    add("n1", "north");
    add("s1", "south", 1ms);
    shedBelow("n1", 3);
    shedBelow("s1", 4);
    int sent = 0;
    for (int i = 0; i < 10000; ++i) {
        const tl::expected<std::string_view, error_kind> target =
                m_routes.choose("booking", 2, {}, m_now, m_random);
        if (target)
            ++sent;
        else
            EXPECT_EQ(target.error(), error_kind::overloaded);
    }
    EXPECT_NEAR(sent, 100, 40);
    EXPECT_EQ(countChoices(100, 3)["n1"], 100);
}

// Guards against an executor that keeps receiving requests after it has failed, and against one
// that is never used again. The backoff must double, and each probe must be a single request.
TEST_F(routing_choice, EjectsAfterAStreakAndProbesWithBackoff)
{
    add("n1", "north");
    add("n2", "north");
    respond("n1", 250ms, run_outcome::timeout, 5);
    EXPECT_EQ(countChoices(50)["n2"], 50);
    m_now += 1s;
    EXPECT_EQ(choose(), "n1");
    m_routes.onDispatched("n1", m_now);
    EXPECT_EQ(countChoices(50)["n2"], 50) << "only one probe";
    m_routes.onResponse("n1", 1ms, run_outcome::timeout, nullptr, m_now);
    m_now += 1500ms;
    EXPECT_EQ(choose(), "n2") << "the second ejection lasts twice as long";
    m_now += 500ms;
    EXPECT_EQ(choose(), "n1");
    respond("n1", 1ms, run_outcome::success);
    EXPECT_FALSE(m_routes.isEjected("n1", m_now));
}

// Guards against ejecting all servers of a service because some of its requests time out under
// overload: the requests that the servers can still serve would be lost as well.
TEST_F(routing_choice, TimeoutsBetweenResponsesDoNotEject)
{
    add("n1", "north");
    add("n2", "north");
    int ejected = 0;
    for (int i = 0; i < 2000; ++i) {
        const std::string node = choose();
        ejected += m_routes.isEjected(node, m_now) ? 1 : 0;
        const bool late = m_random.below(10) < 7;
        respond(node, late ? 5ms : 2ms, late ? run_outcome::timeout : run_outcome::success);
    }
    EXPECT_EQ(ejected, 0) << "ejected executors chosen, of 2000 choices";
}

// Guards against using an executor that sends heartbeats with a low load but never responds.
TEST_F(routing_choice, HeartbeatsDoNotKeepAnUnresponsiveExecutorInUse)
{
    add("n1", "north");
    add("n2", "north");
    for (int i = 0; i < 5; ++i)
        m_routes.onDispatched("n1", m_now);
    m_now += 1500ms;
    m_routes.onHeartbeat("n1", {0, 100, 0, 0});
    respond("n2", 10s, run_outcome::success, 5);
    EXPECT_TRUE(m_routes.isEjected("n1", m_now));
    EXPECT_EQ(countChoices(50)["n2"], 50) << "no probe while the dispatches are waiting";
}

// Guards against an outage that lasts for a complete backoff after all executors of a service have
// failed together.
TEST_F(routing_choice, OnlyExecutorIsTriedWithOneRequestAtATime)
{
    add("n1", "north");
    respond("n1", 1ms, run_outcome::failed, 5);
    EXPECT_EQ(choose(), "n1");
    m_routes.onDispatched("n1", m_now);
    EXPECT_EQ(choose(), "");
}

// Guards against sending equal shares to servers of different speed, which would overload the
// slowest, and against never using a server again that has been slow.
TEST_F(routing_choice, SlowerServersReceiveLessAndAreTriedAgain)
{
    for (const char *node : {"n1", "n2", "n3", "n4"}) {
        add(node, "north");
        respond(node, node == std::string("n4") ? 60ms : 20ms, run_outcome::success, 20);
    }
    EXPECT_EQ(countChoices(1000).count("n4"), 0U);
    m_now += 20s;
    for (const char *node : {"n1", "n2", "n3"})
        respond(node, 20ms, run_outcome::success);
    EXPECT_GT(countChoices(1000)["n4"], 0);
}

// Guards against a retry on a node where the request has already failed, and against a wrong error
// kind.
TEST_F(routing_choice, ExcludedNodesAreNotChosen)
{
    add("n1", "north");
    add("n2", "north");
    EXPECT_EQ(choose(5, {"n1"}), "n2");
    EXPECT_EQ(choose(5, {"n1", "n2"}), "");
    EXPECT_EQ(m_routes.choose("unknown", 5, {}, m_now, m_random).error(),
              error_kind::no_backend_server);
}

// Guards against connections from every node to every server, and against reassigning complete
// subsets when one server leaves.
RC_GTEST_PROP(RouterSubset, IsBoundedAndStableAndExcludesLeavingExecutors, ())
{
    const int executors = *rc::gen::inRange(1, 40);
    const std::string nodeName = *rc::gen::arbitrary<std::string>();
    seeded_random random(20261204);
    const time_point now(1h);
    router routes(optionsFor(nodeName));
    for (int i = 0; i < executors; ++i)
        routes.upsertExecutor({"n" + std::to_string(i), "north", "booking"});
    const auto chosenNodes = [&] {
        std::set<std::string, std::less<>> nodes;
        for (int i = 0; i < 400; ++i)
            nodes.emplace(*routes.choose("booking", 0, {}, now, random));
        return nodes;
    };
    const std::set<std::string, std::less<>> before = chosenNodes();
    RC_ASSERT(before.size() == static_cast<std::size_t>(std::min(executors, 8)));
    RC_PRE(executors > 1);
    const std::string leaving = *before.begin();
    routes.upsertExecutor({leaving, "north", "booking", executor_state::not_serving});
    std::set<std::string, std::less<>> after = chosenNodes();
    RC_ASSERT(after.count(leaving) == 0);
    for (const std::string &node : before)
        after.erase(node);
    RC_ASSERT(after.size() <= 1);
}
