#include "benchmark_support.h"
#include "tamarackridge/overload"
#include "tamarackridge/src/base/seeded_random.h"

#include <benchmark/benchmark.h>

#include <atomic>

using namespace tamarackridge;
using bench::reportAllocations;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);

void BM_limitAcquireRelease(benchmark::State &state)
{
    concurrency_limit limit;
    limit.restart(start, 100);
    time_point now = start;
    const std::uint64_t before = bench::allocations;
    for (auto _ : state) {
        benchmark::DoNotOptimize(limit.tryAcquire());
        now += 50us;
        limit.release(now, 20ms, run_outcome::success);
    }
    reportAllocations(state, before);
}
BENCHMARK(BM_limitAcquireRelease);

/// Enqueues and dequeues one request; the argument is the constant length of the queue.
void BM_queueEnqueuePop(benchmark::State &state)
{
    admission_queue queue;
    seeded_random random(20261204);
    time_point now = start;
    std::uint64_t id = 0;
    const auto add = [&] {
        const std::uint64_t draw = random.next();
        const duration age(static_cast<std::int64_t>(draw % 500'000'000));
        queue.enqueue({++id, static_cast<std::uint8_t>(draw >> 62U), now - age, now + 1h}, now);
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        add();
    std::vector<std::uint64_t> dropped;
    const std::uint64_t before = bench::allocations;
    for (auto _ : state) {
        now += 10us;
        add();
        benchmark::DoNotOptimize(queue.popReady(now));
        queue.takeExpired(now, dropped);
        dropped.clear();
    }
    reportAllocations(state, before);
}
BENCHMARK(BM_queueEnqueuePop)->Arg(0)->Arg(30)->Arg(1000);

/// Refuses a request because the queue is full of more important ones.
void BM_queueRefuse(benchmark::State &state)
{
    admission_queue queue;
    for (std::uint64_t id = 1; id <= 1024; ++id)
        queue.enqueue({id, 3, start, start + 24h}, start);
    std::uint64_t id = 2000;
    time_point now = start;
    const std::uint64_t before = bench::allocations;
    for (auto _ : state) {
        now += 10us;
        benchmark::DoNotOptimize(queue.enqueue({++id, 1, now, now + 1s}, now));
    }
    reportAllocations(state, before);
}
BENCHMARK(BM_queueRefuse);

void BM_budgets(benchmark::State &state)
{
    retry_budget retries;
    time_point now = start;
    const std::uint64_t before = bench::allocations;
    for (auto _ : state) {
        now += 100us;
        retries.onFirstAttempt(now);
        benchmark::DoNotOptimize(retries.tryRetry(now));
        attempt_budget attempts(3);
        const std::uint32_t part = attempts.takeShare();
        attempts.returnUnused(part, part - 1);
        benchmark::DoNotOptimize(attempts);
    }
    reportAllocations(state, before);
}
BENCHMARK(BM_budgets);

} // namespace
