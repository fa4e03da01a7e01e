#include "scenario/client_load.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

namespace {

/// Injects random faults, each with a later event that ends it; several are active at a time.
class fault_schedule
{
public:
    fault_schedule(sample_fleet &sample, std::uint64_t seed)
        : m_sample(sample)
        , m_random(seed)
    { }

    void run(duration length)
    {
        const time_point end = m_sample.fleet.events().now() + length;
        while (m_sample.fleet.events().now() < end) {
            injectFault();
            m_sample.fleet.run(std::chrono::milliseconds(200 + m_random.below(1500)));
        }
    }

private:
    std::string randomNode()
    {
        const std::vector<std::string> names = m_sample.fleet.names();
        return names[m_random.below(names.size())];
    }
    void injectFault()
    {
        virtual_fleet &fleet = m_sample.fleet;
        event_queue &events = fleet.events();
        const duration length = std::chrono::milliseconds(100 + m_random.below(6000));
        const std::string node = randomNode();
        const std::string zone = m_sample.zones[m_random.below(m_sample.zones.size())];
        switch (m_random.below(8)) {
        case 0:
            fleet.kill(node);
            events.after(length, [&fleet, node] { fleet.replace(node); });
            break;
        case 1:
            fleet.stop(node);
            events.after(length + 10s, [&fleet, node] { fleet.replace(node); });
            break;
        case 2:
            fleet.pause(node);
            events.after(length, [&fleet, node] { fleet.resume(node); });
            break;
        case 3:
            fleet.cutZone(zone);
            events.after(length, [&fleet, zone] { fleet.healZone(zone); });
            break;
        case 4:
            fleet.cutLog(zone);
            events.after(length, [&fleet, zone] { fleet.healLog(zone); });
            break;
        case 5:
            fleet.log().setAvailable(false);
            events.after(length, [&fleet] { fleet.log().setAvailable(true); });
            break;
        case 6:
            fleet.log().loseNextResponses(3);
            break;
        default:
            fleet.backend(node).crash();
            events.after(length, [&fleet, node] {
                if (fleet.alive(node) && !fleet.backend(node).up())
                    fleet.backend(node).restart();
            });
            break;
        }
    }

    sample_fleet &m_sample;
    seeded_random m_random;
};

class node_faults : public ::testing::TestWithParam<std::uint64_t>
{ };

} // namespace

// Guards against violations of the safety rules under several simultaneous faults: kills, planned
// stops, pauses, network cuts, log outages, lost append responses and backend crashes. Meanwhile
// callers resend writes through other zones.
TEST_P(node_faults, SafetyRulesHoldUnderSimultaneousFaults)
{
    const std::vector<sample_customer> customers{{"andes", 60, 60}, {"pampa", 1000, 1000}};
    sample_fleet sample({.seed = GetParam()}, customers);
    oracle judge;
    judge.setCustomerBound("andes", {60, 60});
    judge.setCustomerBound("pampa", {1000, 1000});
    sample.fleet.run(15s);
    client_load load(sample, judge, GetParam());
    load.start({.customer = "andes",
                .zones = sample.zones,
                .rate = 120,
                .writeShare = 0.3,
                .resends = 4},
               60s);
    load.start({.customer = "pampa",
                .zones = {"a", "b"},
                .rate = 150,
                .writeShare = 0.5,
                .resends = 4},
               60s);
    fault_schedule(sample, GetParam()).run(60s);
    sample.fleet.run(20s);
    const std::vector<std::string> violations = judge.violations(sample.fleet.executions(), 1100ms);
    for (const std::string &violation : violations)
        ADD_FAILURE() << violation;
    EXPECT_GT(judge.completeResponses(), judge.requests() / 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, node_faults, ::testing::Values(1, 2, 3, 4, 5, 6, 7, 8));
