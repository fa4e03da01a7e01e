#include "fakes/loop_runner.h"
#include "log/log_store.h"
#include "platform/store_gateway.h"
#include "sidecar/http_listener.h"
#include "sidecar/store_watch.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackridge::platform {
namespace {

using fakes::runUntil;

std::string queryOf(const std::string &target, const std::string &name)
{
    const std::size_t begin = target.find(name + '=');
    if (begin == std::string::npos)
        return {};
    const std::size_t from = begin + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::string base64(const std::string &text)
{
    constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8U
                    | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            out += at + digit > text.size() ? '=' : digits[group >> (18 - 6 * digit) & 63U];
    }
    return out;
}

/// \brief Stand-in for the platform's store: serves its HTTP calls from the records of a log_store.
class store_stand_in
{
public:
    store_stand_in(boost::asio::io_context &loop, const socket_address &address)
        : m_listener(std::make_unique<http_listener>(
                loop, address,
                listener_callbacks{[this](call_id call, const http_request &request) {
                                       calls.push_back(request.target);
                                       handle(call, request);
                                   },
                                   [](call_id) {},
                                   [this]() -> const caller_limits & { return m_limits; },
                                   [] { return false; }},
                m_lastCall))
    { }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        m_history.push_back({topic, key, value});
        const std::string record = encodeRecord(key, value);
        static_cast<void>(m_log.append(logName(topic), record.substr(4), monotonicNow()));
        m_newest[topic][key] = value;
        serveWaiting();
    }
    /// Goes back to a copy that was made after the first \a puts calls of put().
    void restore(std::size_t puts)
    {
        std::vector<stored_put> kept = std::exchange(m_history, {});
        kept.resize(puts);
        ++m_era;
        m_log = log_store(log_limits{});
        m_newest.clear();
        m_ends.clear();
        for (const stored_put &item : kept)
            put(item.topic, item.key, item.value);
    }
    /// Answers the waiting reads with 503.
    void rejectWaiting()
    {
        for (const waiting_read &item : std::exchange(m_waiting, {}))
            respond(item.call, 503, "{}");
    }
    std::string newest(const std::string &topic, const std::string &key)
    {
        return m_newest[topic][key];
    }
    void trimTopic(const std::string &topic) { m_log.trimBelow(logName(topic), end(topic)); }

    std::vector<std::string> calls;
    std::vector<std::string> waits; ///< How long each read may wait, in milliseconds.
    int failureStatus = 0; ///< Status of every response, if not 0.
    bool unresponsive = false;
    std::string bodyOverride; ///< Body of every response, if not empty.

private:
    static std::string logName(const std::string &topic)
    {
        return topic.substr(topic.find('.') + 1);
    }
    std::int64_t end(const std::string &topic)
    {
        constexpr std::size_t maxRecords = 1000;
        return m_log.read(logName(topic), 0, maxRecords, monotonicNow()).next;
    }
    static std::string bigEndian(std::int64_t value)
    {
        std::string out;
        for (int shift = 56; shift >= 0; shift -= 8)
            out.push_back(static_cast<char>(value >> shift & 0xff));
        return out;
    }

    void respond(call_id call, int status, std::string body)
    {
        http_response item;
        item.status = status;
        item.headers.push_back({"Store-Era", std::to_string(m_era)});
        item.body = std::make_shared<const std::string>(bodyOverride.empty() ? std::move(body)
                                                                             : bodyOverride);
        m_listener->respond(call, item);
    }

    void handle(call_id call, const http_request &request)
    {
        if (unresponsive)
            return;
        const std::string topic = queryOf(request.target, "topic");
        if (failureStatus != 0)
            respond(call, failureStatus, "{}");
        else if (request.target.starts_with("/api/log-newest"))
            respond(call, 200, newestPage(topic, queryOf(request.target, "after")));
        else if (request.target.starts_with("/api/log-append"))
            append(call, topic, std::string(bodyView(request.body)));
        else {
            waits.push_back(queryOf(request.target, "waitMs"));
            readOrWait({call, topic, std::stoll(queryOf(request.target, "from"))},
                       queryOf(request.target, "waitMs") != "0");
        }
    }

    std::string newestPage(const std::string &topic, const std::string &after)
    {
        constexpr std::size_t pageSize = 2;
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (const auto &[key, value] : m_newest[topic]) {
            if (key <= after && !after.empty())
                continue;
            more = count == pageSize;
            if (more)
                break;
            items += (count++ == 0 ? "" : ",");
            items += R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","offset":0})";
        }
        return R"({"items":[)" + items + R"(],"hasMore":)" + (more ? "true" : "false")
               + R"(,"end":)" + std::to_string(m_ends[topic]) + "}";
    }

    void append(call_id call, const std::string &topic, const std::string &body)
    {
        const std::optional<record_page> page = decodeRecords(std::string(16, '\0') + body);
        for (const keyed_record &record : page->records) {
            if (record.value.empty())
                m_newest[topic].erase(record.key);
            else
                put(topic, record.key, record.value);
        }
        respond(call, 200, R"({"offset":0,"end":1})");
    }

    struct waiting_read
    {
        call_id call = 0;
        std::string topic;
        std::int64_t from = 0;
    };

    void readOrWait(const waiting_read &item, bool mayWait)
    {
        if (read(item.call, item.topic, item.from))
            return;
        if (mayWait)
            m_waiting.push_back(item);
        else
            respond(item.call, 200, bigEndian(end(item.topic)) + bigEndian(0));
    }

    bool read(call_id call, const std::string &topic, std::int64_t from)
    {
        const stream_page page = m_log.read(logName(topic), from, 100, monotonicNow());
        if (from < page.first || from > end(topic)) {
            respond(call, 410, R"({"first":)" + std::to_string(page.first) + "}");
            return true;
        }
        if (page.records.empty())
            return false;
        std::string body = bigEndian(page.next) + bigEndian(page.first);
        for (const log_record &record : page.records) {
            body += bigEndian(static_cast<std::int64_t>(record.data.size())).substr(4);
            body += record.data;
        }
        respond(call, 200, body);
        return true;
    }

    void serveWaiting()
    {
        for (auto &[topic, records] : m_newest)
            m_ends[topic] = m_log.read(logName(topic), 0, 1000, monotonicNow()).next;
        std::erase_if(m_waiting, [this](const waiting_read &item) {
            return read(item.call, item.topic, item.from);
        });
    }

    struct stored_put
    {
        std::string topic;
        std::string key;
        std::string value;
    };

    call_id m_lastCall = 0;
    caller_limits m_limits;
    int m_era = 1;
    std::vector<stored_put> m_history;
    log_store m_log{log_limits{}};
    std::map<std::string, std::map<std::string, std::string>> m_newest;
    std::map<std::string, std::int64_t> m_ends;
    std::vector<waiting_read> m_waiting;
    std::unique_ptr<http_listener> m_listener;
};

struct platform_store_gateway : testing::Test
{
    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    std::unique_ptr<store_stand_in> store = std::make_unique<store_stand_in>(loop, address);
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
    for (const char *set : {"one", "two", "three"})
        store->put("keyed.op", "config", set);
    watch.start();
    ASSERT_TRUE(run([&] { return sets == std::vector<std::string>{"three"}; }));
    store->rejectWaiting();
    store->restore(1);
    store->put("keyed.op", "config", "four");
    for (int record = 0; record < 3; ++record)
        store->put("keyed.op", "other", "x");
    EXPECT_TRUE(run([&] { return sets.back() == "four"; }));
    EXPECT_EQ(restores, 1);
}

// Guards against waiting at the end of the restored log for a change that is already in it.
TEST_F(platform_store_gateway, after_an_outage_a_restored_store_is_read_without_a_wait)
{
    for (const char *set : {"one", "two", "three"})
        store->put("keyed.op", "config", set);
    watch.start();
    ASSERT_TRUE(run([&] { return sets == std::vector<std::string>{"three"}; }));
    store->rejectWaiting();
    store->restore(1);
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

// Guards against a node that others cannot find, since the store lost its registration.
TEST_F(platform_store_gateway, a_registration_that_a_restore_lost_is_written_again)
{
    store->put("keyed.op", "config", "one");
    watch.start();
    ASSERT_TRUE(run([&] { return !store->newest("keyed.members", "n1").empty(); }));
    ASSERT_TRUE(run([&] { return !sets.empty(); }));
    store->rejectWaiting();
    store->restore(1);
    EXPECT_EQ(store->newest("keyed.members", "n1"), "");
    EXPECT_TRUE(run([&] { return store->newest("keyed.members", "n1") == "10.0.0.1:7000"; }));
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
        gateway.listNodes([&](const tl::expected<std::vector<seed_peer>, store_error> &list) {
            left = list ? list->size() : 0;
        });
        return left == std::size_t{4};
    }));
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
        gateway.listNodes([&](const tl::expected<std::vector<seed_peer>, store_error> &result) {
            error = result ? store_error::expired : result.error();
        });
        ASSERT_TRUE(run([&] { return error.has_value(); }));
        EXPECT_EQ(*error, store_error::malformed) << text;
    }
}

} // namespace
} // namespace tamarackridge::platform
