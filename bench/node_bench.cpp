#include "benchmark_support.h"
#include "scenario/sample_fleet.h"

#include <benchmark/benchmark.h>

#include <atomic>

using namespace tamarackridge;
using bench::reportAllocations;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

namespace {

/// A fleet after 20 s, when its nodes have joined, been configured and hold tokens.
struct settled_fleet
{
    settled_fleet()
        : sample({.seed = 1}, {{"andes", 4'000'000, 4'000'000}})
    {
        sample.fleet.run(20s);
        now = sample.fleet.events().now();
    }

    sample_fleet sample;
    time_point now;
};

/// Measures all decisions for one request on one node: entry, route, key, rate, choice of the
/// backend server, admission, response. The loop also copies the HTTP request, which in a real node
/// has been parsed from the connection.
void serveLocally(benchmark::State &state, const char *target, const char *customer)
{
    settled_fleet settled;
    node_core &core = settled.sample.fleet.core("a-movements");
    const http_request request = settled.sample.request("GET", target, customer, "bench");
    const shared_body body = std::make_shared<const std::string>("answer");
    action_list out;
    call_id call = 1;
    std::uint64_t served = 0;
    std::uint64_t dispatched = 0;
    const std::uint64_t before = bench::allocations;
    for (auto _ : state) {
        // One request per 50 us stays within the customer's rate, so no request waits for tokens.
        settled.now += 50us;
        out.clear();
        core.callerRequest(call++, request, settled.now, out);
        for (std::size_t index = 0; index < out.size(); ++index) {
            if (const run_backend *run = std::get_if<run_backend>(&out[index])) {
                backend_result result;
                result.bytesSent = true;
                result.response = http_response{200, {}, body};
                core.backendResponse(run->run, std::move(result), settled.now + 10us, out);
                ++served;
            } else if (std::holds_alternative<send_peer>(out[index])) {
                ++dispatched;
            }
        }
        if (call % 200 == 0) {
            state.PauseTiming();
            out.clear();
            core.tick(settled.now, out);
            state.ResumeTiming();
        }
    }
    reportAllocations(state, before);
    state.counters["served_share"] = static_cast<double>(served) / static_cast<double>(call);
    state.counters["peer_messages"] = static_cast<double>(dispatched) / static_cast<double>(call);
}

void BM_openLookup(benchmark::State &state)
{
    serveLocally(state, "/status", "");
}
BENCHMARK(BM_openLookup);

void BM_keyedLookup(benchmark::State &state)
{
    serveLocally(state, "/movements", "andes");
}
BENCHMARK(BM_keyedLookup);

/// Measures one tick of an idle node.
void BM_idleTick(benchmark::State &state)
{
    settled_fleet settled;
    node_core &core = settled.sample.fleet.core("a-movements");
    action_list out;
    for (auto _ : state) {
        settled.now += 10ms;
        out.clear();
        core.tick(settled.now, out);
    }
}
BENCHMARK(BM_idleTick);

} // namespace
