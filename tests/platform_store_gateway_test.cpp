#include "fakes/loop_runner.h"
#include "fakes/platform_store.h"
#include "platform/store_gateway.h"
#include "sidecar/store_watch.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackridge::platform {
namespace {

using fakes::runUntil;

/// Platform whose log has an odd record between two sets.
class odd_page_platform final : public platform_gateway
{
public:
    header_names headers() const override { return {}; }
    response_header_names responseHeaderNames() const override { return {}; }
    tl::expected<published_set, std::string> decodeSet(std::string_view) const override
    {
        return published_set{};
    }
    server_notice decodeNotice(const http_request &) const override { return {}; }
    void readSet(handler<stored_set> done) override
    {
        ++m_setReads;
        done(stored_set{"set " + std::to_string(m_setReads), m_setReads});
    }
    void readNextSet(std::int64_t position, duration, handler<stored_set> done) override
    {
        positions.push_back(position);
        if (position == 1)
            done(tl::unexpected(store_error::malformed));
    }
    void onStoreRestored(std::function<void()>) override { }
    void onRecordRefused(std::function<void(std::string_view)>) override { }
    store_era era() const override { return unknownEra; }
    void registerNode(const registered_node &, handler<std::monostate>) override { }
    void unregisterNode(const std::string &, handler<std::monostate>) override { }
    void listNodes(handler<std::vector<registered_node>>) override { }
    void putDeparture(const stored_departure &, handler<std::monostate>) override { }
    void eraseDeparture(const std::string &, handler<std::monostate>) override { }
    void listDepartures(handler<std::vector<stored_departure>>) override { }
    void putCrashes(std::span<const stored_crash>, handler<std::monostate>) override { }
    void listCrashes(handler<std::vector<stored_crash>>) override { }
    void sweep(time_point) override { }

    std::vector<std::int64_t> positions; ///< Of the reads that wait for the next set.

private:
    std::int64_t m_setReads = 0;
};

struct platform_store_gateway : testing::Test
{
    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    std::unique_ptr<fakes::platform_store> store =
            std::make_unique<fakes::platform_store>(loop, address);
    store_gateway gateway{loop, address};
    std::vector<std::string> sets;
    std::vector<seed_peer> members;
    std::vector<bool> responses;
    int restores = 0;
    seeded_random random{1};
    store_watch watch{loop,
                      gateway,
                      "n1",
                      "10.0.0.1:7000",
                      random,
                      {[this](const std::string &text) { sets.push_back(text); },
                       [this](const std::vector<seed_peer> &list) { members = list; },
                       [this](bool answering, std::string_view) { responses.push_back(answering); },
                       [] { return true; }, [this] { ++restores; }}};

    bool run(const std::function<bool()> &done)
    {
        return runUntil(loop, done, [this] { gateway.sweep(monotonicNow()); });
    }
    /// Lets the watch read the last of three sets and wait for the next.
    void followThreeSets()
    {
        for (const char *set : {"one", "two", "three"})
            store->put("keyed.op", "config", set);
        watch.start();
        ASSERT_TRUE(run([&] { return sets == std::vector<std::string>{"three"}; }));
    }
    /// Ends the waiting read and goes back to a copy that holds the first set only.
    void restoreFirstSet()
    {
        store->rejectWaiting();
        store->restore(1);
    }
};

TEST_F(platform_store_gateway, the_newest_set_is_read_and_later_ones_follow)
{
    store->put("keyed.op", "other", "x");
    store->put("keyed.op", "config", "one");
    watch.start();
    ASSERT_TRUE(run([&] { return sets.size() == 1; }));
    store->put("keyed.op", "config", "two");
    ASSERT_TRUE(run([&] { return sets.size() == 2; }));
    EXPECT_EQ(sets, (std::vector<std::string>{"one", "two"}));
    EXPECT_EQ(restores, 0);
}

// Guards against a node that misses changes when the store has trimmed its history.
TEST_F(platform_store_gateway, a_position_that_has_expired_leads_to_the_newest_set)
{
    store->put("keyed.op", "config", "one");
    std::optional<store_error> error;
    store->put("keyed.op", "config", "two");
    store->trimTopic("keyed.op");
    store->put("keyed.op", "config", "three");
    gateway.readNextSet(0, std::chrono::seconds(1),
                        [&](const tl::expected<stored_set, store_error> &result) {
                            error = result ? store_error::malformed : result.error();
                        });
    ASSERT_TRUE(run([&] { return error.has_value(); }));
    EXPECT_EQ(*error, store_error::expired);
    watch.start();
    ASSERT_TRUE(run([&] { return !sets.empty(); }));
    EXPECT_EQ(sets.back(), "three");
}

// Guards against missing changes after the store was restored from a copy: the old position then
// points behind records that were written since, and there is no error when the log is long enough.
TEST_F(platform_store_gateway, after_a_restore_changes_below_the_old_position_are_read)
{
    followThreeSets();
    restoreFirstSet();
    store->put("keyed.op", "config", "four");
    for (int record = 0; record < 3; ++record)
        store->put("keyed.op", "other", "x");
    EXPECT_TRUE(run([&] { return sets.back() == "four"; }));
    EXPECT_EQ(restores, 1);
}

// Guards against waiting at the end of the restored log for a change that is already in it.
TEST_F(platform_store_gateway, after_an_outage_a_restored_store_is_read_without_a_wait)
{
    followThreeSets();
    restoreFirstSet();
    store->put("keyed.op", "config", "four");
    store->put("keyed.op", "other", "x");
    EXPECT_TRUE(run([&] { return sets.back() == "four"; }));
}

// Guards against a change that no node reads in time: the store can leave a waiting read without a
// response when the change comes as the wait ends, and nodes that start together wait together.
TEST_F(platform_store_gateway, reads_of_nodes_that_start_together_end_at_different_times)
{
    store->put("keyed.op", "config", "one");
    constexpr std::size_t nodes = 8;
    std::vector<std::unique_ptr<seeded_random>> randoms;
    std::vector<std::unique_ptr<store_watch>> watches;
    for (std::size_t node = 0; node < nodes; ++node) {
        randoms.push_back(std::make_unique<seeded_random>(node));
        watches.push_back(std::make_unique<store_watch>(
                loop, gateway, "n" + std::to_string(node), "10.0.0.1:7000", *randoms.back(),
                store_callbacks{[](const std::string &) {}, [](const std::vector<seed_peer> &) {},
                                [](bool, std::string_view) {}, [] { return true; }, [] {}}));
        watches.back()->start();
    }
    ASSERT_TRUE(run([&] { return store->waits.size() == nodes; }));
    for (const std::string &wait : store->waits) {
        EXPECT_GE(std::stoi(wait), 10'000);
        EXPECT_LE(std::stoi(wait), 20'000);
    }
    EXPECT_EQ(std::set<std::string>(store->waits.begin(), store->waits.end()).size(), nodes);
}

// Guards against departures that a stopping node does not write again when the store has lost them.
TEST_F(platform_store_gateway, a_restore_is_reported_while_the_node_leaves)
{
    store->put("keyed.op", "config", "one");
    watch.start();
    ASSERT_TRUE(run([&] { return !store->newest("keyed.members", "n1").empty(); }));
    watch.leave();
    ASSERT_TRUE(run([&] { return store->newest("keyed.members", "n1").empty(); }));
    store->restore(1);
    store->rejectWaiting();
    EXPECT_TRUE(run([&] { return restores == 1; }));
    EXPECT_EQ(store->newest("keyed.members", "n1"), "");
}

// Guards against a node that others cannot find, since the store lost its registration.
TEST_F(platform_store_gateway, a_registration_that_a_restore_lost_is_written_again)
{
    store->put("keyed.op", "config", "one");
    watch.start();
    ASSERT_TRUE(run([&] { return !store->newest("keyed.members", "n1").empty(); }));
    ASSERT_TRUE(run([&] { return !sets.empty(); }));
    const std::string registration = store->newest("keyed.members", "n1");
    EXPECT_TRUE(registration.starts_with("10.0.0.1:7000 ")) << registration;
    store->rejectWaiting();
    store->restore(1);
    EXPECT_EQ(store->newest("keyed.members", "n1"), "");
    EXPECT_TRUE(run([&] { return store->newest("keyed.members", "n1") == registration; }));
}

TEST_F(platform_store_gateway, members_are_listed_over_several_pages)
{
    for (const char *name : {"n2", "n3", "n4", "n5"})
        store->put("keyed.members", name, "10.0.0.9:7000");
    watch.start();
    ASSERT_TRUE(run([&] { return members.size() == 5; }));
    EXPECT_EQ(members.front().node, "n1");
    EXPECT_EQ(members.front().endpoint, "10.0.0.1:7000");
    watch.leave();
    std::optional<std::size_t> left;
    ASSERT_TRUE(run([&] {
        gateway.listNodes([&](const tl::expected<std::vector<registered_node>, store_error> &list) {
            left = list ? list->size() : 0;
        });
        return left == std::size_t{4};
    }));
}

// Guards against one odd entry of another writer that hides all nodes, or names a node without a
// usable endpoint.
TEST_F(platform_store_gateway, odd_entries_name_no_node_and_the_others_hold)
{
    std::vector<std::string> refused;
    gateway.onRecordRefused([&refused](std::string_view reason) { refused.emplace_back(reason); });
    store->put("keyed.members", "n2", "10.0.0.9:7000");
    for (const auto &[name, endpoint] :
         std::vector<std::pair<std::string, std::string>>{{"o1", "10.0.0.9:99999"},
                                                          {"o2", "10.0.0.9:0"},
                                                          {"o3", "10.0.0.9"},
                                                          {"o4", "host:7000"},
                                                          {"o5", std::string(100'000, '[')},
                                                          {"o6", "10.0.0.9:7000x"}})
        store->put("keyed.members", name, endpoint);
    store->oddItems = R"(7,{"key":3,"value":"eA=="},{"key":"k"},{"key":"k","value":"%%"},)"
                      + std::string(100'000, '[') + std::string(100'000, ']');
    std::optional<std::vector<registered_node>> list;
    gateway.listNodes([&](const tl::expected<std::vector<registered_node>, store_error> &result) {
        list = result.value_or(std::vector<registered_node>());
    });
    ASSERT_TRUE(run([&] { return list.has_value(); }));
    ASSERT_EQ(list->size(), 1U);
    EXPECT_EQ(list->front().peer.node, "n2");
    EXPECT_GE(refused.size(), 6U + 5U);
    store->put("keyed.op", "config", "one");
    std::optional<std::string> set;
    gateway.readSet([&](const tl::expected<stored_set, store_error> &result) {
        set = result ? result->text.value_or("none") : "error";
    });
    ASSERT_TRUE(run([&] { return set.has_value(); }));
    EXPECT_EQ(*set, "one");
}

// Guards against a node that reads the same odd record again and again and follows no change any
// more.
TEST(store_watch, a_page_that_does_not_decode_is_passed_by_reading_the_newest_set)
{
    boost::asio::io_context loop;
    odd_page_platform platform;
    seeded_random random{1};
    std::vector<std::string> sets;
    store_watch watch(loop, platform, "n1", "10.0.0.1:7000", random,
                      {[&sets](const std::string &text) { sets.push_back(text); },
                       [](const std::vector<seed_peer> &) {},
                       [](bool, std::string_view) {},
                       [] { return true; },
                       [] {},
                       {}});
    watch.start();
    EXPECT_TRUE(runUntil(loop, [&] { return platform.positions.size() == 2; }));
    EXPECT_EQ(platform.positions, (std::vector<std::int64_t>{1, 2}));
    EXPECT_EQ(sets, (std::vector<std::string>{"set 1", "set 2"}));
}

// Guards against a node that exits or stops trying while the store rejects or does not answer its
// requests.
TEST_F(platform_store_gateway, rejected_and_unanswered_requests_are_retried)
{
    for (const int status : {503, 429, 500}) {
        store->failureStatus = status;
        std::optional<store_error> error;
        gateway.readSet([&](const tl::expected<stored_set, store_error> &result) {
            error = result ? store_error::malformed : result.error();
        });
        ASSERT_TRUE(run([&] { return error.has_value(); }));
        EXPECT_EQ(*error, store_error::rejected) << status;
    }
    watch.start();
    ASSERT_TRUE(run([&] { return !responses.empty(); }));
    store->failureStatus = 0;
    store->unresponsive = true;
    const std::size_t before = store->calls.size();
    ASSERT_TRUE(run([&] { return store->calls.size() > before + 4; }));
    store->unresponsive = false;
    store->put("keyed.op", "config", "one");
    EXPECT_TRUE(run([&] { return sets.size() == 1; }));
    EXPECT_EQ(responses.front(), false);
    EXPECT_EQ(responses.back(), true);
}

// Guards against a malformed response that crashes the node.
TEST_F(platform_store_gateway, malformed_responses_are_errors)
{
    for (const char *text :
         {"{", "[]", "\xff", R"({"items":[{"key":1}],"end":1})", R"({"items":7})"}) {
        store->bodyOverride = text;
        std::optional<store_error> error;
        gateway.listNodes(
                [&](const tl::expected<std::vector<registered_node>, store_error> &result) {
                    error = result ? store_error::expired : result.error();
                });
        ASSERT_TRUE(run([&] { return error.has_value(); }));
        EXPECT_EQ(*error, store_error::malformed) << text;
    }
}

} // namespace
} // namespace tamarackridge::platform
