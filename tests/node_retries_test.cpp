#include "scenario/sample_fleet.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t attemptsPerRoute = 3;
constexpr int requestCount = 4; // Few enough to start at once under the initial concurrency limit.
constexpr std::size_t callsPerChain = 2; // An invoice lookup makes one onward call to tariffs.

std::size_t executionsBelow(const sample_fleet &sample, const std::string &marker)
{
    return sample.executionsOf(marker) + sample.executionsOf(marker + "//tariffs");
}

} // namespace

// Guards against retries that multiply from hop to hop of a call chain.
TEST(NodeRetries, AreBoundedOverTheEntireCallChain)
{
    sample_fleet sample({.seed = 20261204}, {{"andes", 1000, 1000}});
    sample.fleet.run(15s);
    for (const std::string &zone : sample.zones)
        sample.fleet.freezeBackend(zone + "-tariffs");
    for (int index = 0; index < requestCount; ++index) {
        const std::string marker = "deep-" + std::to_string(index);
        sample.fleet.call("a-movements", sample.request("GET", "/invoices", "andes", marker),
                          [](const http_response &) {});
    }
    sample.fleet.run(10s);
    for (int index = 0; index < requestCount; ++index) {
        const std::string marker = "deep-" + std::to_string(index);
        EXPECT_GE(executionsBelow(sample, marker), callsPerChain) << marker;
        EXPECT_LE(executionsBelow(sample, marker), callsPerChain + attemptsPerRoute - 1) << marker;
    }
}

// Guards against a retry storm, in which every failed request is retried: the retry budget limits a
// node's retries to a share of its first attempts.
TEST(NodeRetries, AreAShareOfFirstAttemptsOnEveryNode)
{
    sample_fleet sample({.seed = 20261204}, {{"andes", 4000, 4000}});
    sample.fleet.run(15s);
    for (const std::string &zone : sample.zones)
        sample.fleet.freezeBackend(zone + "-movements");
    for (int index = 0; index < 2000; ++index) {
        const std::string marker = "storm-" + std::to_string(index);
        sample.fleet.call("a-tariffs", sample.request("GET", "/movements", "andes", marker),
                          [](const http_response &) {});
        sample.fleet.run(2ms);
    }
    sample.fleet.run(3s);
    const node_status status = sample.fleet.core("a-tariffs").status(sample.fleet.events().now());
    std::uint64_t dispatches = 0;
    std::uint64_t retries = 0;
    for (const auto &[name, value] : status.counters) {
        dispatches = name == "dispatches" ? value : dispatches;
        retries = name == "retries" ? value : retries;
    }
    // The retry budget: a tenth of the first attempts, one per second, and the initially saved
    // budget.
    EXPECT_LE(retries, (dispatches - retries) / 10 + 7 + 50);
}
