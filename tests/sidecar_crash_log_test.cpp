#include "fakes/loop_runner.h"
#include "fakes/platform_store.h"
#include "sidecar/crash_log.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// A store that outlives the processes which record crashes in it.
struct sidecar_crash_log : testing::Test
{
    /// One process of a node.
    struct process
    {
        process(boost::asio::io_context &loop, const socket_address &store)
            : gateway(loop, store)
        {
            gateway.onStoreRestored([this] { log.storeRestored(); });
            gateway.onRecordRefused(
                    [this](std::string_view reason) { refused.emplace_back(reason); });
            log.start();
        }

        std::vector<std::string> refused;
        std::optional<std::vector<crash_record>> known;
        platform::store_gateway gateway;
        seeded_random random{1};
        crash_log log{gateway, random,
                      [this](const std::vector<crash_record> &records) { known = records; },
                      std::chrono::milliseconds(500)};
    };

    static crash_record quarantined(std::uint64_t number)
    {
        return {{number, 7}, 3, 2, true, minutes(10)};
    }

    void startProcess()
    {
        node.reset();
        node = std::make_unique<process>(loop, address);
    }
    bool run(const std::function<bool()> &done)
    {
        return fakes::runUntil(loop, done, [this] {
            node->gateway.sweep(monotonicNow());
            node->log.sweep(monotonicNow());
        });
    }
    bool isWritten()
    {
        return run([this] { return node->log.unrecorded() == 0; });
    }
    /// \returns the records that a new process reads.
    std::vector<crash_record> readAnew()
    {
        startProcess();
        EXPECT_TRUE(run([this] { return node->known.has_value(); }));
        return node->known.value_or(std::vector<crash_record>());
    }
    std::size_t appends() const
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(store->calls, [](const std::string &target) {
                    return target.starts_with("/api/log-append");
                }));
    }

    boost::asio::io_context loop;
    socket_address address = fakes::freeAddress();
    std::unique_ptr<fakes::platform_store> store =
            std::make_unique<fakes::platform_store>(loop, address);
    std::unique_ptr<process> node = std::make_unique<process>(loop, address);
};

} // namespace

// Guards against a quarantined request that is run again after all processes have been killed.
TEST_F(sidecar_crash_log, a_new_process_reads_what_earlier_ones_recorded)
{
    node->log.record(quarantined(1));
    node->log.record({{2, 7}, 0, 1, false, seconds(60)});
    node->log.flush();
    ASSERT_TRUE(isWritten());
    EXPECT_EQ(appends(), 1U) << "the records of one crash share a call";
    const std::vector<crash_record> records = readAnew();
    ASSERT_EQ(records.size(), 2U);
    EXPECT_EQ(records[0].subject, quarantined(1).subject);
    EXPECT_EQ(records[0].generation, 3U);
    EXPECT_EQ(records[0].crashes, 2U);
    EXPECT_TRUE(records[0].quarantined);
    EXPECT_GT(records[0].remaining, minutes(9));
    EXPECT_LE(records[0].remaining, minutes(10));
    EXPECT_FALSE(records[1].quarantined);
    EXPECT_LE(records[1].remaining, seconds(60));
}

// Guards against records that are lost since the store is away or slow when they are written, or
// against a process that gives up reading them.
TEST_F(sidecar_crash_log, an_outage_of_the_store_delays_writing_and_reading)
{
    ASSERT_TRUE(run([this] { return node->known.has_value(); }));
    store->failureStatus = 503;
    node->log.record(quarantined(1));
    node->log.flush();
    ASSERT_TRUE(run([this] { return node->log.errors() > 1; }));
    EXPECT_EQ(node->log.unrecorded(), 1U);
    store->failureStatus = 0;
    store->responseDelay = std::chrono::milliseconds(300);
    ASSERT_TRUE(isWritten());
    store->failureStatus = 503;
    startProcess();
    ASSERT_TRUE(run([this] { return node->log.errors() > 1; }));
    EXPECT_FALSE(node->known);
    store->failureStatus = 0;
    ASSERT_TRUE(run([this] { return node->known.has_value(); }));
    EXPECT_EQ(node->known->size(), 1U);
}

// Guards against records that a store lost which came back from an older copy: those that this
// process wrote, and those that it read.
TEST_F(sidecar_crash_log, a_restored_store_gets_the_records_again)
{
    node->log.record(quarantined(1));
    node->log.flush();
    ASSERT_TRUE(isWritten());
    ASSERT_EQ(readAnew().size(), 1U);
    node->log.record(quarantined(2));
    node->log.flush();
    ASSERT_TRUE(isWritten());
    store->restore(0);
    node->log.record(quarantined(3)); // The response to its write tells of the restore.
    node->log.flush();
    ASSERT_TRUE(isWritten());
    EXPECT_EQ(readAnew().size(), 3U);
}

// Guards against suspects that are held back after a restart although they were cleared, and
// against records that stay in the store for ever.
TEST_F(sidecar_crash_log, cleared_and_expired_records_are_erased)
{
    crash_record suspect{{1, 7}, 0, 1, false, seconds(60)};
    node->log.record(suspect);
    node->log.record({{2, 7}, 0, 1, false, std::chrono::milliseconds(300)});
    node->log.flush();
    ASSERT_TRUE(isWritten());
    suspect.generation = 1;
    suspect.crashes = 0;
    node->log.record(suspect);
    node->log.flush();
    ASSERT_TRUE(run([this] {
        return store->newest("keyed.crashes", toString(fingerprint{1, 7})).empty()
               && store->newest("keyed.crashes", toString(fingerprint{2, 7})).empty();
    }));
    EXPECT_TRUE(readAnew().empty());
}

// Guards against a process that erases, when its own record of a suspect has expired, the one of
// another node that has quarantined it meanwhile; and against a clearing that does so late.
TEST_F(sidecar_crash_log, a_record_that_another_node_has_renewed_is_not_erased)
{
    const std::string key = toString(fingerprint{1, 7});
    node->log.record({{1, 7}, 0, 1, false, std::chrono::milliseconds(300)});
    node->log.flush();
    ASSERT_TRUE(isWritten());
    store->put("keyed.crashes", key,
               R"({"generation":0,"crashes":2,"quarantined":true,"expires_at":9000000000})");
    const std::size_t lists = store->calls.size();
    ASSERT_TRUE(run([&] { return store->calls.size() > lists; })) << "looks for what has expired";
    store->failureStatus = 503;
    node->log.record({{1, 7}, 1, 0, false, seconds(60)});
    node->log.flush();
    ASSERT_TRUE(run([this] { return node->log.errors() > 0 && node->log.unrecorded() == 0; }));
    store->failureStatus = 0;
    loop.restart();
    loop.run_for(seconds(1));
    node->log.sweep(monotonicNow());
    const std::vector<crash_record> records = readAnew();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_TRUE(records[0].quarantined);
}

// Guards against a write that is repeated after an outage and replaces what another node has
// recorded during it.
TEST_F(sidecar_crash_log, a_repeated_write_contains_what_other_nodes_have_recorded)
{
    ASSERT_TRUE(run([this] { return node->known.has_value(); }));
    store->failureStatus = 503;
    for (std::uint64_t number : {1, 2})
        node->log.record({{number, 7}, 0, 1, false, seconds(60)});
    node->log.flush();
    ASSERT_TRUE(run([this] { return node->log.errors() > 0; }));
    node->log.update({{1, 7}, 0, 2, true, minutes(10)}); // Quarantined by another node.
    node->log.update({{2, 7}, 1, 0, false, seconds(60)}); // Cleared by another node.
    node->log.update(quarantined(3)); // Not known here.
    store->failureStatus = 0;
    ASSERT_TRUE(isWritten());
    const std::vector<crash_record> records = readAnew();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].subject, (fingerprint{1, 7}));
    EXPECT_TRUE(records[0].quarantined);
}

// Guards against odd records of other writers that hide the others, and against a list that stays
// malformed and keeps the server from being used.
TEST_F(sidecar_crash_log, odd_records_have_no_effect)
{
    const std::string key = toString(fingerprint{1, 7});
    node->log.record(quarantined(9));
    node->log.flush();
    ASSERT_TRUE(isWritten());
    store->put("keyed.crashes", "odd", "{}");
    store->put("keyed.crashes", key + "0", "{}");
    std::uint64_t number = 20;
    for (const char *value :
         {"", "[", "7", "{}", R"({"generation":-1,"crashes":1,"quarantined":true,"expires_at":1})",
          R"({"generation":0,"crashes":1001,"quarantined":true,"expires_at":9000000000})",
          R"({"generation":0,"crashes":1,"quarantined":1,"expires_at":9000000000})",
          R"({"generation":0,"crashes":1,"quarantined":true,"expires_at":"soon"})"})
        store->put("keyed.crashes", toString(fingerprint{++number, 7}), value);
    ASSERT_EQ(readAnew().size(), 1U);
    EXPECT_GE(node->refused.size(), 9U);
    store->bodyOverride = "[";
    EXPECT_TRUE(readAnew().empty());
}

} // namespace tamarackridge
