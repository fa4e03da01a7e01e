// Measures quota: time and allocations per decision, memory per customer, control traffic.
#include "allocation_count.h"
#include "fakes/quota_fleet.h"
#include "tamarackridge/src/base/seeded_random.h"

#include "tamarackridge/quota"

#include <benchmark/benchmark.h>

using namespace tamarackridge;
using namespace tamarackridge::fakes;
using namespace std::chrono_literals;

namespace {

constexpr micro_tokens token = microTokensPerRequest;

std::vector<customer_rate> makeCustomers(std::size_t count, micro_tokens rate)
{
    std::vector<customer_rate> customers;
    for (std::size_t index = 0; index < count; ++index)
        customers.push_back({"customer-" + std::to_string(index), rate, rate});
    return customers;
}

std::vector<node_ref> makeHolders(std::size_t count)
{
    std::vector<node_ref> holders(count);
    for (std::size_t index = 0; index < count; ++index)
        holders[index] = {"z", "holder-" + std::to_string(index), 2};
    return holders;
}

/// \brief Counts the allocations between its construction and finish().
class allocation_scope
{
public:
    void finish(benchmark::State &state) const
    {
        state.counters["allocations"] =
                benchmark::Counter(static_cast<double>(bench::allocations.load() - m_before),
                                   benchmark::Counter::kAvgIterations);
    }

private:
    std::uint64_t m_before = bench::allocations.load();
};

/// \brief The quota parts of a node that holds the only slot, for customers with an ample rate.
struct node_parts
{
    explicit node_parts(std::size_t customerCount)
        : customers(makeCustomers(customerCount, 1'000'000'000 * token))
    {
        holder.setCustomers(customers, now);
        const std::vector<held_slot> held{{{"z", 0}, 1, now + 12h}};
        holder.setSlots(held, now);
        pool.setCustomers(customers);
        now += 10s;
    }
    seeded_random random{1};
    time_point now = time_point(1h);
    std::vector<customer_rate> customers;
    slot_holder holder{random};
    token_pool pool{{"z", "self", 1}, {}, &holder, random};
};

void atomicIncrement(benchmark::State &state)
{
    std::atomic<std::uint64_t> counter{0};
    for (auto step : state)
        counter.fetch_add(1);
    benchmark::DoNotOptimize(counter.load());
}
BENCHMARK(atomicIncrement);

void spendFromOwnSlot(benchmark::State &state)
{
    node_parts parts(static_cast<std::size_t>(state.range(0)));
    std::size_t next = 0;
    const allocation_scope allocations;
    for (auto step : state) {
        parts.now += 1us;
        const customer_rate &customer = parts.customers[next++ % parts.customers.size()];
        benchmark::DoNotOptimize(parts.pool.trySpend(customer.name, parts.now));
    }
    allocations.finish(state);
}
BENCHMARK(spendFromOwnSlot)->Arg(8)->Arg(1000);

/// \brief Spends tokens granted by other nodes; the argument is their number.
void spendGranted(benchmark::State &state)
{
    seeded_random random(1);
    token_pool pool({"z", "self", 1}, {}, nullptr, random);
    pool.setCustomers(makeCustomers(8, 1'000'000'000 * token));
    pool.setHolders(makeHolders(static_cast<std::size_t>(state.range(0))));
    const time_point now(1h);
    pool.trySpend("customer-3", now);
    std::vector<send_peer> out;
    pool.tick(now, out);
    for (const send_peer &send : out) {
        const std::uint64_t sequence = std::get<token_request>(send.message).sequence;
        pool.onGrant({"z", send.node, 2},
                     {sequence, 1, 2s, {{"customer-3", 1'000'000'000 * token}}}, now);
    }
    const allocation_scope allocations;
    for (auto step : state)
        benchmark::DoNotOptimize(pool.trySpend("customer-3", now));
    allocations.finish(state);
}
BENCHMARK(spendGranted)->Arg(1)->Arg(16);

/// \brief Refuses a customer for whom no holder has tokens left.
void refuse(benchmark::State &state)
{
    seeded_random random(1);
    token_pool pool({"z", "self", 1}, {}, nullptr, random);
    pool.setCustomers(makeCustomers(8, token));
    pool.setHolders(makeHolders(16));
    const time_point now(1h);
    std::vector<send_peer> out;
    for (int round = 0; round < 20; ++round) {
        pool.trySpend("customer-3", now);
        out.clear();
        pool.tick(now, out);
        for (const send_peer &send : out) {
            const std::uint64_t sequence = std::get<token_request>(send.message).sequence;
            pool.onGrant({"z", send.node, 2}, {sequence, 0, 2s, {}}, now);
        }
    }
    const allocation_scope allocations;
    for (auto step : state) {
        benchmark::DoNotOptimize(pool.trySpend("customer-3", now));
        benchmark::DoNotOptimize(pool.expectsGrant("customer-3", now));
    }
    allocations.finish(state);
}
BENCHMARK(refuse);

/// \brief Measures one exchange at the holder: a token request for 8 customers and the report on
/// it.
void grantAndReport(benchmark::State &state)
{
    node_parts parts(8);
    const node_ref caller{"z", "caller", 2};
    token_request request;
    for (const customer_rate &customer : parts.customers)
        request.wanted.push_back({customer.name, token});
    for (auto step : state) {
        parts.now += 1us;
        ++request.sequence;
        const token_grant grant = parts.holder.grant(caller, request, parts.now);
        parts.holder.onReport(caller, {grant.grant, grant.granted, {}}, parts.now);
    }
}
BENCHMARK(grantAndReport);

/// \brief Memory of one node per customer; the argument is the number of other holders.
void memoryPerCustomer(benchmark::State &state)
{
    constexpr std::size_t count = 10'000;
    const std::vector<customer_rate> customers = makeCustomers(count, token);
    const std::vector<node_ref> holders = makeHolders(static_cast<std::size_t>(state.range(0)));
    for (auto step : state) {
        seeded_random random(1);
        const std::uint64_t before = bench::allocatedBytes.load();
        slot_holder holder(random);
        holder.setCustomers(customers, time_point(1h));
        const std::uint64_t middle = bench::allocatedBytes.load();
        token_pool pool({"z", "self", 1}, {}, &holder, random);
        pool.setCustomers(customers);
        pool.setHolders(holders);
        state.counters["holder_bytes"] = static_cast<double>(middle - before) / count;
        state.counters["pool_bytes"] =
                static_cast<double>(bench::allocatedBytes.load() - middle) / count;
    }
}
BENCHMARK(memoryPerCustomer)->Arg(15)->Arg(287)->Iterations(1);

/// \brief Estimated bytes per second of a node's token exchanges: 40 per message and 12 per
/// name and amount. Every customer sends at 90% of its rate of 100/s through every node.
void controlTraffic(benchmark::State &state)
{
    for (auto step : state) {
        fleet_options options;
        options.zones = static_cast<std::uint32_t>(state.range(0));
        options.nodesPerZone = 4;
        options.slotsPerZone = static_cast<std::uint32_t>(state.range(1));
        options.customers = makeCustomers(static_cast<std::size_t>(state.range(2)), 100 * token);
        quota_fleet fleet(options);
        fleet.runFor(30s);
        std::vector<std::size_t> nodes;
        for (std::size_t index = 0; index < fleet.nodeCount(); ++index)
            nodes.push_back(index);
        // The last argument selects callers at every node or at the first one only.
        if (state.range(3) == 1)
            nodes.resize(1);
        for (const customer_rate &customer : options.customers)
            fleet.load(nodes, customer.name, 90, 20s);
        fleet.runFor(21s);
        double sum = 0;
        double maxBytesPerSecond = 0;
        for (std::size_t index = 0; index < fleet.nodeCount(); ++index) {
            const double bytes = static_cast<double>(fleet.bytesUsed(index)) / 20;
            sum += bytes;
            maxBytesPerSecond = std::max(maxBytesPerSecond, bytes);
        }
        std::size_t wrongful = 0;
        for (const customer_rate &customer : options.customers)
            wrongful += fleet.oracle(customer.name).wrongful();
        state.counters["busiest_Bps"] = maxBytesPerSecond;
        state.counters["mean_Bps"] = sum / static_cast<double>(fleet.nodeCount());
        state.counters["wrongful"] = static_cast<double>(wrongful)
                                     / (1800.0 * static_cast<double>(options.customers.size()));
    }
}
BENCHMARK(controlTraffic)
        ->ArgNames({"zones", "slots", "customers", "one_node"})
        ->Args({4, 4, 1, 0})
        ->Args({4, 4, 8, 0})
        ->Args({4, 4, 32, 0})
        ->Args({4, 1, 8, 0})
        ->Args({9, 4, 8, 0})
        ->Args({4, 4, 1, 1})
        ->Args({4, 4, 8, 1})
        ->Args({9, 4, 8, 1})
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

} // namespace
