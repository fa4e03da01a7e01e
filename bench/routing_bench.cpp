#include "benchmark_support.h"
#include "tamarackridge/routing"
#include "tamarackridge/src/base/seeded_random.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <memory>
#include <string>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);

std::string nodeName(int number)
{
    return "node-" + std::to_string(100000 + number);
}
std::string serviceName(int number)
{
    return "service-" + std::to_string(number);
}
std::string zoneName(int number)
{
    return "zone-" + std::to_string(number);
}

/// \returns a router that knows \a executors backend servers, spread evenly over services and
/// zones.
std::unique_ptr<router> makeRouter(int executors, int services, int zones)
{
    router_options options;
    options.node = "own";
    options.zone = zoneName(0);
    std::unique_ptr<router> routes = std::make_unique<router>(options);
    for (int i = 0; i < executors; ++i) {
        const int zone = i / services % zones;
        routes->upsertExecutor({nodeName(i), zoneName(zone), serviceName(i % services),
                                executor_state::serving, zone == 0 ? 0ms : 1ms});
    }
    return routes;
}

/// Measures choice, dispatch and response of one request; the arguments are the numbers of
/// executors, services and zones.
void BM_chooseAndAnswer(benchmark::State &state)
{
    const int services = static_cast<int>(state.range(1));
    const std::unique_ptr<router> routes = makeRouter(static_cast<int>(state.range(0)), services,
                                                      static_cast<int>(state.range(2)));
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(services));
    for (int i = 0; i < services; ++i)
        names.push_back(serviceName(i));
    seeded_random random(20261204);
    const executor_load load{0, 100, 50, 0};
    time_point now = start;
    const auto request = [&](std::size_t service) {
        const tl::expected<std::string_view, error_kind> node =
                routes->choose(names[service], 5, {}, now, random);
        routes->onDispatched(*node, now);
        now += 20us;
        routes->onResponse(*node, 20ms, run_outcome::success, &load, now);
    };
    // The router computes a subset when it first considers a zone; done before the measurement.
    for (std::size_t i = 0; i < 200 * names.size(); ++i)
        request(i % names.size());
    const std::uint64_t before = bench::allocations;
    std::size_t service = 0;
    for (auto _ : state)
        request(service = service + 1 < names.size() ? service + 1 : 0);
    state.counters["allocations"] = benchmark::Counter(
            static_cast<double>(bench::allocations - before), benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_chooseAndAnswer)
        ->Args({4, 1, 1})
        ->Args({16, 4, 4})
        ->Args({5800, 600, 9})
        ->Args({5800, 20, 9});

/// Measures the memory per known executor, including its share of the groups and subsets.
void BM_memoryPerExecutor(benchmark::State &state)
{
    const int executors = 5800;
    double bytes = 0;
    for (auto _ : state) {
        const std::uint64_t freedBefore = bench::freedBytes;
        const std::uint64_t before = bench::allocatedBytes;
        const std::unique_ptr<router> routes = makeRouter(executors, 600, 9);
        seeded_random random(1);
        for (int i = 0; i < 600; ++i)
            benchmark::DoNotOptimize(routes->choose(serviceName(i), 5, {}, start, random));
        const std::uint64_t allocated = bench::allocatedBytes - before;
        bytes = static_cast<double>(allocated - (bench::freedBytes - freedBefore));
    }
    state.counters["bytes"] = bytes / executors;
}
BENCHMARK(BM_memoryPerExecutor)->Iterations(1);

} // namespace
