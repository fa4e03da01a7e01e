#include "scenario/sample_fleet.h"
#include "tamarackridge/config"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

namespace {

class node_configuration : public ::testing::Test
{
protected:
    node_configuration()
        : m_sample({.seed = 20261204}, {{"andes", 1000, 1000}, {"pampa", 9, 9}})
    {
        m_sample.fleet.run(15s);
        config_objects objects = parseConfigSet(m_sample.configuration.text)->objects();
        objects.settings.maxUnconfirmed = maxConfirmationAge;
        m_sample.configuration.text = toJson(config_set::create(std::move(objects)).value());
        m_sample.fleet.publish(m_sample.configuration.text);
        m_sample.fleet.run(3s);
    }

    /// Publishes the configuration without the API key of \a customer.
    void withdrawKey(const std::string &customer)
    {
        config_objects objects = parseConfigSet(m_sample.configuration.text)->objects();
        std::erase_if(objects.keys,
                      [&customer](const api_key &key) { return key.customer == customer; });
        m_sample.fleet.publish(toJson(config_set::create(std::move(objects)).value()));
    }

    std::string errorOf(const std::string &node, std::string_view target = "/movements")
    {
        std::string result = "no response";
        m_sample.fleet.call(node, m_sample.request("GET", target, "andes", "probe"),
                            [&result](const http_response &response) {
                                result = std::string(
                                        headerValue(response.headers, "Tamarackridge-Error"));
                            });
        m_sample.fleet.run(1s);
        return result;
    }

    static constexpr std::chrono::seconds maxConfirmationAge = 60s;
    sample_fleet m_sample;
};

} // namespace

// Guards against a withdrawn API key that is still accepted by some node of the fleet.
TEST_F(node_configuration, AWithdrawnKeyStopsEverywhereWithinFourSeconds)
{
    withdrawKey("andes");
    m_sample.fleet.run(3s);
    for (const std::string &node : m_sample.fleet.names())
        EXPECT_EQ(errorOf(node), "key_unknown") << node;
}

// Guards against a zone that misses a configuration change because it can reach its peers but not
// the platform log.
TEST_F(node_configuration, AZoneWithoutTheLogGetsAWithdrawalFromItsPeers)
{
    m_sample.fleet.cutLog("c");
    withdrawKey("andes");
    m_sample.fleet.run(3s);
    EXPECT_EQ(errorOf("c-tariffs"), "key_unknown");
}

// Guards against a zone that is cut off from the log and the other zones and accepts a withdrawn
// API key without a time limit, and against refusing requests that need no key.
TEST_F(node_configuration, ACutOffZoneTrustsKeysUpToItsBoundOnly)
{
    m_sample.fleet.cutZone("c");
    m_sample.fleet.cutLog("c");
    withdrawKey("andes");
    m_sample.fleet.run(3s);
    EXPECT_EQ(errorOf("c-movements"), "");
    EXPECT_EQ(errorOf("a-movements"), "key_unknown");
    m_sample.fleet.run(maxConfirmationAge + 10s);
    EXPECT_EQ(errorOf("c-movements"), "configuration_unconfirmed");
    EXPECT_EQ(errorOf("c-movements", "/status"), "");
    m_sample.fleet.healZone("c");
    m_sample.fleet.run(5s);
    EXPECT_EQ(errorOf("c-movements"), "key_unknown");
}

// Guards against refusing customers during a long outage of the log while peers are reachable.
TEST_F(node_configuration, ALogOutageBeyondTheBoundRefusesNobody)
{
    m_sample.fleet.log().setAvailable(false);
    m_sample.fleet.run(3 * maxConfirmationAge);
    for (const std::string &node : m_sample.fleet.names())
        EXPECT_EQ(errorOf(node), "") << node;
}
