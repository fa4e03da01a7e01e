#pragma once

#include "allocation_counter.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdint>

// Must be included in only one source file of a benchmark program: it replaces the global operator
// new.

namespace tamarackridge::bench {

/// \brief Reports the allocations per iteration since the allocation count was \a before.
inline void reportAllocations(benchmark::State &state, std::uint64_t before)
{
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                       benchmark::Counter::kAvgIterations);
}

/// \brief Cost of one atomic increment, the reference for the other benchmarks.
inline void BM_atomicIncrement(benchmark::State &state)
{
    std::atomic<std::uint64_t> counter = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(counter.fetch_add(1));
}
BENCHMARK(BM_atomicIncrement);

} // namespace tamarackridge::bench
