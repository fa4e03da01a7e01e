#include "scenario/sample_fleet.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

namespace {

class node_quarantine : public ::testing::Test
{
protected:
    node_quarantine()
        : m_sample({.seed = 20261204}, {{"andes", 1000, 1000}})
    {
        m_sample.fleet.run(15s);
    }

    http_request crashingRequest(const std::string &marker) const
    {
        http_request request = m_sample.request("GET", "/movements", "andes", marker);
        request.body = std::make_shared<const std::string>("crash-this-server");
        return request;
    }
    /// Restarts crashed backend servers after a second, like a process manager.
    void runWithRestarts(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            m_sample.fleet.run(1s);
            for (const std::string &name : m_sample.fleet.names()) {
                if (!m_sample.fleet.backend(name).up())
                    m_sample.fleet.backend(name).restart();
            }
        }
    }

    sample_fleet m_sample;
};

} // namespace

// Guards against a request that crashes backend servers and that its caller repeats until all of
// them are down.
TEST_F(node_quarantine, ARequestThatCrashesServersIsRefusedInTheEntireFleet)
{
    int quarantined = 0;
    const std::vector<std::string> entries{"a-tariffs", "b-tariffs", "c-tariffs", "d-tariffs"};
    for (int send = 0; send < 12; ++send) {
        const std::string &entry = entries[static_cast<std::size_t>(send) % entries.size()];
        m_sample.fleet.call(entry, crashingRequest("kill"),
                            [&quarantined](const http_response &response) {
                                if (headerValue(response.headers, "Tamarackridge-Error")
                                    == "request_quarantined")
                                    ++quarantined;
                            });
        runWithRestarts(2);
    }
    std::map<std::string, int> crashesByZone;
    for (const execution_record &record : m_sample.fleet.executions())
        ++crashesByZone[record.node.substr(0, 1)];
    int crashes = 0;
    for (const auto &[zone, count] : crashesByZone) {
        EXPECT_LE(count, 2) << "zone " << zone;
        crashes += count;
    }
    EXPECT_LE(crashes, 3);
    EXPECT_GE(quarantined, 9);
}

// Guards against a harmless request that stays quarantined because it ran at the same time as one
// that crashes backend servers.
TEST_F(node_quarantine, ConcurrentHealthyRequestsAreServedAgain)
{
    for (const std::string &zone : m_sample.zones)
        m_sample.fleet.backend(zone + "-movements").setServiceTime(200ms);
    for (int round = 0; round < 4; ++round) {
        for (const std::string &zone : m_sample.zones)
            m_sample.fleet.call(zone + "-movements",
                                m_sample.request("GET", "/movements?page=1", "andes", "healthy"),
                                [](const http_response &) {});
        m_sample.fleet.run(5ms);
        m_sample.fleet.call("a-tariffs", crashingRequest("kill"), [](const http_response &) {});
        runWithRestarts(3);
    }
    int served = 0;
    for (int send = 0; send < 8; ++send) {
        m_sample.fleet.call(
                "a-movements", m_sample.request("GET", "/movements?page=1", "andes", "after"),
                [&served](const http_response &response) { served += response.status == 200; });
        runWithRestarts(1);
    }
    EXPECT_EQ(served, 8);
}
