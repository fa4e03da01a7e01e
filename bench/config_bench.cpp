#include "tamarackridge/config"
#include "tamarackridge/src/base/seeded_random.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

using namespace tamarackridge;

namespace {

std::atomic<std::uint64_t> allocations{0};

constexpr int services = 600;
constexpr int customers = 500;
constexpr int keys = 5000;

/// \brief A configuration of the future size: one route with two methods per service.
config_objects largeObjects(seeded_random &random, std::vector<std::string> *presented)
{
    config_objects objects;
    objects.zones = {{"a", 4}, {"b", 4}, {"c", 4}};
    objects.priorities = {{"lookup", 10}, {"critical", 200}};
    for (int index = 0; index < customers; ++index)
        objects.customers.push_back({"customer-" + std::to_string(index), 100, 200});
    for (int index = 0; index < services; ++index) {
        const std::string name = "service-" + std::to_string(index);
        objects.services.push_back({name});
        objects.routes.push_back({name,
                                  "/api/" + name,
                                  {"GET", "PUT"},
                                  name,
                                  "lookup",
                                  false,
                                  true,
                                  std::chrono::milliseconds(800),
                                  4});
    }
    for (int index = 0; index < keys; ++index) {
        const issued_key key = issueKey("customer-" + std::to_string(index % customers), random);
        objects.keys.push_back(key.entry);
        if (presented != nullptr)
            presented->push_back(key.presented);
    }
    return objects;
}

std::shared_ptr<const config_set> largeSet(std::vector<std::string> *presented = nullptr)
{
    seeded_random random(1);
    return std::make_shared<const config_set>(
            config_set::create(largeObjects(random, presented)).value());
}

/// \brief Reports allocations per iteration.
class allocation_count
{
public:
    explicit allocation_count(benchmark::State &state)
        : m_state(state)
        , m_before(allocations.load())
    { }
    allocation_count(const allocation_count &) = delete;
    allocation_count &operator=(const allocation_count &) = delete;
    ~allocation_count()
    {
        m_state.counters["allocations"] =
                benchmark::Counter(static_cast<double>(allocations.load() - m_before),
                                   benchmark::Counter::kAvgIterations);
    }

private:
    benchmark::State &m_state;
    std::uint64_t m_before;
};

void BM_AtomicIncrement(benchmark::State &state)
{
    std::atomic<std::uint64_t> counter{0};
    const allocation_count count(state);
    for ([[maybe_unused]] auto iteration : state)
        benchmark::DoNotOptimize(counter.fetch_add(1));
}
BENCHMARK(BM_AtomicIncrement);

void BM_FindRoute(benchmark::State &state)
{
    const std::shared_ptr<const config_set> set = largeSet();
    std::vector<std::string> targets;
    targets.reserve(services);
    for (int index = 0; index < services; ++index)
        targets.push_back("/api/service-" + std::to_string(index) + "/items/2026/7?page=3");
    std::size_t next = 0;
    const allocation_count count(state);
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(set->findRoute("GET", targets[next]).value());
        next = (next + 7) % targets.size();
    }
}
BENCHMARK(BM_FindRoute);

/// \param state range(0): number of keys in use; the cache holds 4,096.
void BM_VerifyCached(benchmark::State &state)
{
    std::vector<std::string> presented;
    key_store store(99);
    store.install(largeSet(&presented), 1);
    presented.resize(static_cast<std::size_t>(state.range(0)));
    for (const std::string &key : presented)
        store.verify(key);
    std::size_t next = 0;
    const std::uint64_t misses = store.cacheMisses();
    {
        const allocation_count count(state);
        for ([[maybe_unused]] auto iteration : state) {
            benchmark::DoNotOptimize(store.verify(presented[next]).value());
            next = next + 1 == presented.size() ? 0 : next + 1;
        }
    }
    state.counters["misses"] = benchmark::Counter(static_cast<double>(store.cacheMisses() - misses),
                                                  benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_VerifyCached)->Arg(16)->Arg(1000)->Arg(5000);

void BM_VerifyUncached(benchmark::State &state)
{
    std::vector<std::string> presented;
    const std::shared_ptr<const config_set> set = largeSet(&presented);
    key_store store(99);
    std::int64_t version = 0;
    const allocation_count count(state);
    for ([[maybe_unused]] auto iteration : state) {
        store.install(set, ++version);
        benchmark::DoNotOptimize(store.verify(presented[42]).value());
    }
}
BENCHMARK(BM_VerifyUncached);

void BM_RefuseUnknownKey(benchmark::State &state)
{
    std::vector<std::string> presented;
    key_store store(99);
    store.install(largeSet(&presented), 1);
    std::string wrong = presented[42];
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    const allocation_count count(state);
    for ([[maybe_unused]] auto iteration : state)
        benchmark::DoNotOptimize(store.verify(wrong).has_value());
}
BENCHMARK(BM_RefuseUnknownKey);

void BM_ApplyDelta(benchmark::State &state)
{
    const std::shared_ptr<const config_set> set = largeSet();
    config_delta delta;
    delta.upserts.customers = {{"customer-7", 5, 5}};
    const allocation_count count(state);
    for ([[maybe_unused]] auto iteration : state)
        benchmark::DoNotOptimize(apply(*set, delta).has_value());
    state.counters["delta_bytes"] = static_cast<double>(toJson(delta).size());
    state.counters["set_bytes"] = static_cast<double>(toJson(*set).size());
}
BENCHMARK(BM_ApplyDelta)->Unit(benchmark::kMicrosecond);

void BM_ParseSet(benchmark::State &state)
{
    const std::string text = toJson(*largeSet());
    for ([[maybe_unused]] auto iteration : state)
        benchmark::DoNotOptimize(parseConfigSet(text).has_value());
}
BENCHMARK(BM_ParseSet)->Unit(benchmark::kMicrosecond);

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// \brief Heap bytes of a complete set, and per object of the kinds whose number grows.
void BM_Memory(benchmark::State &state)
{
    const auto heapOf = [](int kind) {
        seeded_random random(1);
        config_objects objects = largeObjects(random, nullptr);
        if (kind == 1)
            objects.keys.clear();
        if (kind == 2)
            objects.routes.clear();
        if (kind == 3) {
            objects.keys.clear();
            objects.customers.clear();
        }
        const std::size_t before = heapBytes();
        const config_set set = config_set::create(config_objects(objects)).value();
        return static_cast<double>(heapBytes() - before);
    };
    for ([[maybe_unused]] auto iteration : state) {
        const double complete = heapOf(0);
        const double withoutKeys = heapOf(1);
        state.counters["set_bytes"] = complete;
        state.counters["bytes_per_key"] = (complete - withoutKeys) / keys;
        state.counters["bytes_per_route"] = (complete - heapOf(2)) / services;
        state.counters["bytes_per_customer"] = (withoutKeys - heapOf(3)) / customers;
        const std::size_t before = heapBytes();
        const key_store store(1);
        state.counters["key_cache_bytes"] = static_cast<double>(heapBytes() - before);
    }
}
BENCHMARK(BM_Memory)->Iterations(1);

} // namespace

// Counts the allocations of C++ code. Not inlined, since GCC would otherwise warn of
// std::malloc() and operator delete as a mismatched pair.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
