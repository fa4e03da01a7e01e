#include "load/runner.h"

#include "load/worker.h"

#include <curl/curl.h>

#include <iterator>
#include <thread>

namespace tamarackridge::load {
namespace {

/// Gives all threads time to start before the schedule begins.
constexpr std::chrono::milliseconds startDelay{50};

template <typename Element>
void append(std::vector<Element> &all, std::vector<Element> &&part)
{
    all.insert(all.end(), std::make_move_iterator(part.begin()),
               std::make_move_iterator(part.end()));
}

std::string randomRunId()
{
    std::random_device device;
    return std::to_string(device());
}

} // namespace

finished_run runPlan(const load_plan &plan)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::string runId = randomRunId();
    std::vector<std::unique_ptr<worker>> workers;
    for (std::size_t index = 0; index < plan.threads; ++index)
        workers.push_back(std::make_unique<worker>(plan, index, runId));
    finished_run run{std::chrono::steady_clock::now() + startDelay, {}};
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (const std::unique_ptr<worker> &each : workers)
        threads.emplace_back([&each, &run] { each->run(run.start); });
    for (std::thread &thread : threads)
        thread.join();
    for (const std::unique_ptr<worker> &each : workers) {
        run_records part = each->takeRecords();
        append(run.records.requests, std::move(part.requests));
        append(run.records.sends, std::move(part.sends));
    }
    return run;
}

} // namespace tamarackridge::load
