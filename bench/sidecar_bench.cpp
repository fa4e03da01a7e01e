// Cost of a request at a sidecar, with the messages that it causes on other nodes, by fleet size.
#include "fakes/sidecar_fleet.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

constexpr int zones = 4;
constexpr int customers = 80;

std::string nodeName(int number)
{
    return std::string(1, static_cast<char>('a' + number % zones)) + std::to_string(number);
}

std::unique_ptr<fakes::sidecar_fleet> makeFleet(int nodes, double rate)
{
    std::vector<std::pair<std::string, std::string>> names;
    names.reserve(static_cast<std::size_t>(nodes));
    for (int number = 0; number < nodes; ++number)
        names.emplace_back(nodeName(number), "orders");
    std::unique_ptr<fakes::sidecar_fleet> fleet = std::make_unique<fakes::sidecar_fleet>(names);
    published_set set = fakes::fakeSet(5);
    set.customers.clear();
    set.customers.reserve(customers);
    for (int number = 0; number < customers; ++number) {
        const std::string name = "customer-" + std::to_string(number);
        set.customers.push_back({name, {"key-" + std::to_string(number)}, rate, rate, 0});
    }
    fleet->publishAll(set);
    for (const auto &[name, service] : names)
        fleet->report(name, 1);
    fleet->advance(5s);
    return fleet;
}

// Each request finds its customer's rate used up and is refused, as when clients repeat at once.
void refusedRequest(benchmark::State &state)
{
    const std::unique_ptr<fakes::sidecar_fleet> fleet =
            makeFleet(static_cast<int>(state.range(0)), 40);
    int customer = 0;
    const auto callNext = [&] {
        customer = (customer + 1) % customers;
        fleet->call("a0", "read", "key-" + std::to_string(customer));
    };
    for (int warmUp = 0; warmUp < 5000; ++warmUp)
        callNext();
    for (auto iteration : state)
        callNext();
}
BENCHMARK(refusedRequest)->Arg(16)->Arg(64)->Arg(192);

void servedRequest(benchmark::State &state)
{
    const std::unique_ptr<fakes::sidecar_fleet> fleet =
            makeFleet(static_cast<int>(state.range(0)), 0);
    for (auto iteration : state) {
        fleet->call("a0", "read", "key-1");
        fleet->finish(fleet->runs.size() - 1);
        fleet->runs.clear();
        fleet->responses.clear();
    }
}
BENCHMARK(servedRequest)->Arg(16)->Arg(64)->Arg(192);

// Work of one node for a directory change, with the assignment of minters that follows.
void directoryChange(benchmark::State &state)
{
    const std::unique_ptr<fakes::sidecar_fleet> fleet =
            makeFleet(static_cast<int>(state.range(0)), 40);
    std::int64_t sequence = 1;
    for (auto iteration : state) {
        ++sequence;
        fleet->report("b1", sequence, sequence % 2 == 0);
        fleet->advance(500ms, 250ms);
    }
}
BENCHMARK(directoryChange)->Arg(16)->Arg(64)->Arg(192)->Unit(benchmark::kMillisecond);

} // namespace
