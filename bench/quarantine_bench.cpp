// Measures quarantine: time and allocations per run, with and without suspect requests.
#include "allocation_count.h"

#include "tamarackridge/quarantine"

#include <benchmark/benchmark.h>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

class body_source final : public fingerprint_source
{
public:
    explicit body_source(std::size_t size)
        : m_body(size, 'x')
    { }
    fingerprint_parts parts() const override { return {"POST", "/invoices", "customer-3", m_body}; }

private:
    std::string m_body;
};

void atomicIncrement(benchmark::State &state)
{
    std::atomic<std::uint64_t> counter{0};
    for (auto step : state)
        counter.fetch_add(1);
    benchmark::DoNotOptimize(counter.load());
}
BENCHMARK(atomicIncrement);

/// \brief Measures the decision, start and end of a run while 150 other runs are in progress.
/// Arguments: number of known suspects, size of the body in bytes.
void oneRun(benchmark::State &state)
{
    crash_tracker tracker;
    const time_point now(1h);
    std::vector<body_source> others;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        others.emplace_back(static_cast<std::size_t>(index + 1));
        tracker.onRunStarted(1, others.back(), {});
        tracker.onCrash(now);
    }
    const body_source source(static_cast<std::size_t>(state.range(1)));
    for (run_id run = 1; run <= 150; ++run)
        tracker.onRunStarted(run, source, {});
    run_id run = 1000;
    const std::uint64_t before = bench::allocations.load();
    for (auto step : state) {
        const run_decision decision = tracker.permissionFor(source, now);
        tracker.onRunStarted(++run, source, decision);
        benchmark::DoNotOptimize(tracker.onRunFinished(run, true, now));
    }
    state.counters["allocations"] =
            benchmark::Counter(static_cast<double>(bench::allocations.load() - before),
                               benchmark::Counter::kAvgIterations);
}
BENCHMARK(oneRun)->Args({0, 1000})->Args({1, 1000})->Args({100, 1000})->Args({100, 100'000});

} // namespace
