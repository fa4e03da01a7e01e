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
        objects.settings.maxUnconfirmed = bound;
        m_sample.configuration.text = toJson(config_set::create(std::move(objects)).value());
        m_sample.fleet.publish(m_sample.configuration.text);
        m_sample.fleet.run(3s);
    }

    /// Publishes the set without the key of \a customer.
    void withdrawKey(const std::string &customer)
    {
        config_objects objects = parseConfigSet(m_sample.configuration.text)->objects();
        std::erase_if(objects.keys,
                      [&customer](const api_key &key) { return key.customer == customer; });
        m_sample.fleet.publish(toJson(config_set::create(std::move(objects)).value()));
    }

    std::string errorOf(const std::string &node, std::string_view target = "/movements")
    {
        std::string result = "no answer";
        m_sample.fleet.call(node, m_sample.request("GET", target, "andes", "probe"),
                            [&result](const http_response &response) {
                                result = std::string(
                                        headerValue(response.headers, "Tamarackridge-Error"));
                            });
        m_sample.fleet.run(1s);
        return result;
    }

    static constexpr std::chrono::seconds bound = 60s;
    sample_fleet m_sample;
};

} // namespace

// Guards against a withdrawn key that goes on working somewhere in the fleet.
TEST_F(node_configuration, AWithdrawnKeyStopsEverywhereWithinFourSeconds)
{
    withdrawKey("andes");
    m_sample.fleet.run(3s);
    for (const std::string &node : m_sample.fleet.names())
        EXPECT_EQ(errorOf(node), "key_unknown") << node;
}

// Guards against a zone that misses a change since it reaches its peers but not the platform log.
TEST_F(node_configuration, AZoneWithoutTheLogLearnsOfAWithdrawalFromItsPeers)
{
    m_sample.fleet.cutLog("c");
    withdrawKey("andes");
    m_sample.fleet.run(3s);
    EXPECT_EQ(errorOf("c-tariffs"), "key_unknown");
}

// Guards against keys that are trusted for ever in a zone that nobody can tell of a withdrawal, and
// against refusing what needs no key.
TEST_F(node_configuration, ACutOffZoneTrustsKeysUpToItsBoundOnly)
{
    m_sample.fleet.cutZone("c");
    m_sample.fleet.cutLog("c");
    withdrawKey("andes");
    m_sample.fleet.run(3s);
    EXPECT_EQ(errorOf("c-movements"), "");
    EXPECT_EQ(errorOf("a-movements"), "key_unknown");
    m_sample.fleet.run(bound + 10s);
    EXPECT_EQ(errorOf("c-movements"), "configuration_unconfirmed");
    EXPECT_EQ(errorOf("c-movements", "/status"), "");
    m_sample.fleet.healZone("c");
    m_sample.fleet.run(5s);
    EXPECT_EQ(errorOf("c-movements"), "key_unknown");
}

// Guards against a long outage of the log alone that stops customers from being served.
TEST_F(node_configuration, ALogOutageBeyondTheBoundRefusesNobody)
{
    m_sample.fleet.log().setAvailable(false);
    m_sample.fleet.run(3 * bound);
    for (const std::string &node : m_sample.fleet.names())
        EXPECT_EQ(errorOf(node), "") << node;
}
