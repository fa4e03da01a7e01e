#include "fakes/virtual_server.h"
#include "tamarackridge/routing"
#include "tamarackridge/src/base/seeded_random.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

// Compares algorithms by which 4 nodes choose among 8 servers of mixed speeds, in virtual time; the
// counters are the result. The argument is the load in percent of the capacity.

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 25;
constexpr std::size_t servers = 8;
constexpr std::size_t nodes = 4;
constexpr std::array<duration, 4> serviceTimes{40ms, 20ms, 20ms, 10ms};

// Each chooser class is an algorithm, with the state of one node.

class random_chooser
{
public:
    std::size_t choose(time_point, random_source &random) { return random.below(servers); }
    void onCompleted(std::size_t, duration, const executor_load &, time_point) { }
};

/// Power of two choices by the number of this node's requests in flight.
class in_flight_chooser
{
public:
    std::size_t choose(time_point, random_source &random)
    {
        const std::size_t first = random.below(servers);
        const std::size_t second = (first + 1 + random.below(servers - 1)) % servers;
        const std::size_t best = m_inFlight.at(first) <= m_inFlight.at(second) ? first : second;
        ++m_inFlight.at(best);
        return best;
    }
    void onCompleted(std::size_t server, duration, const executor_load &, time_point)
    {
        --m_inFlight.at(server);
    }

private:
    std::array<std::uint32_t, servers> m_inFlight{};
};

class router_chooser
{
public:
    router_chooser()
        : m_router({"own", "north", 8, 2, 1, {}})
    {
        for (std::size_t i = 0; i < servers; ++i)
            m_router.upsertExecutor({std::to_string(i), "north", "booking"});
    }

    std::size_t choose(time_point now, random_source &random)
    {
        const std::string_view node = *m_router.choose("booking", 0, {}, now, random);
        m_router.onDispatched(node, now);
        return static_cast<std::size_t>(node.front() - '0');
    }
    void onCompleted(std::size_t server, duration latency, const executor_load &load,
                     time_point now)
    {
        m_router.onResponse(std::to_string(server), latency, run_outcome::success, &load, now);
    }

private:
    router m_router;
};

template <typename chooser_type>
class mixed_fleet
{
public:
    explicit mixed_fleet(double load)
    {
        double capacity = 0;
        for (std::size_t i = 0; i < servers; ++i) {
            const duration service = serviceTimes.at(i % serviceTimes.size());
            m_servers.push_back(
                    std::make_unique<fakes::virtual_server>(m_loop, m_random, slots, service));
            capacity += slots * (1s / service);
        }
        m_meanIntervalNs = 1e9 / (load * capacity);
        arrive();
        m_loop.runUntil(m_loop.now() + 30s);
    }

    void report(benchmark::State &state)
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        double sum = 0;
        for (double latency : m_latencies)
            sum += latency;
        state.counters["meanMs"] = sum / static_cast<double>(m_latencies.size());
        state.counters["p99Ms"] = m_latencies.at(m_latencies.size() * 99 / 100);
    }

private:
    void arrive()
    {
        const double interval = -std::log(1 - m_random.unit()) * m_meanIntervalNs;
        m_loop.after(duration(static_cast<std::int64_t>(interval)), [this] {
            send(m_random.below(nodes));
            arrive();
        });
    }

    void send(std::size_t node)
    {
        chooser_type &choice = m_choosers.at(node);
        const std::size_t server = choice.choose(m_loop.now(), m_random);
        ++m_load.at(server);
        m_servers.at(server)->submit([this, &choice, server](duration latency) {
            const std::uint32_t load = --m_load.at(server);
            const std::uint32_t running = std::min(load, slots);
            m_latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
            choice.onCompleted(server, latency, {0, slots, running, load - running}, m_loop.now());
        });
    }

    fakes::event_loop m_loop;
    seeded_random m_random{20261204};
    std::vector<std::unique_ptr<fakes::virtual_server>> m_servers;
    std::array<std::uint32_t, servers> m_load{};
    std::array<chooser_type, nodes> m_choosers;
    std::vector<double> m_latencies;
    double m_meanIntervalNs = 0;
};

template <typename chooser_type>
void BM_mixedSpeeds(benchmark::State &state)
{
    for (auto _ : state) {
        mixed_fleet<chooser_type> fleet(static_cast<double>(state.range(0)) / 100);
        fleet.report(state);
    }
}
BENCHMARK(BM_mixedSpeeds<router_chooser>)->Iterations(1)->Arg(50)->Arg(70)->Arg(90);
BENCHMARK(BM_mixedSpeeds<in_flight_chooser>)->Iterations(1)->Arg(50)->Arg(70)->Arg(90);
BENCHMARK(BM_mixedSpeeds<random_chooser>)->Iterations(1)->Arg(50)->Arg(70)->Arg(90);

} // namespace
