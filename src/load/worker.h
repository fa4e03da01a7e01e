#pragma once

#include "load/arrivals.h"
#include "load/client_call.h"
#include "load/id_pool.h"
#include "load/transfer_loop.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tamarackridge::load {

/// \brief Generates the load of one thread: an equal share of the arrivals of every customer.
class worker
{
public:
    /// \param runId makes load ids unique across runs.
    /// \param index index of this worker; makes load ids unique within a run.
    worker(const load_plan &plan, std::size_t index, std::string runId);

    /// \brief Runs this worker's share of the plan and blocks until it is finished.
    /// \param start time at which the schedule begins.
    void run(std::chrono::steady_clock::time_point start);

    /// \returns the records of run() and removes them from the worker.
    run_records takeRecords() { return std::move(m_records); }

private:
    struct customer_state
    {
        customer_state(const load_plan &plan, std::size_t customer, std::uint64_t seed);

        /// Used for arrivals and kinds only, so that these never depend on when requests complete.
        seeded_random random;
        arrival_schedule schedule;
        id_pool ids;
        std::vector<double> targetWeights;
    };
    using shared_call = std::shared_ptr<client_call>;

    duration now() const;
    void scheduleArrival(std::size_t customer);
    void runDueEvents();
    void handleArrival(std::size_t customer, duration intendedStart);
    shared_call makeCall(std::size_t customer, duration intendedStart);
    void send(const shared_call &call, std::optional<std::size_t> target);
    void sendEnded(const shared_call &call, std::size_t sendIndex, std::size_t target,
                   http_transfer &transfer);
    void finish(const shared_call &call);
    void requestIdBatch(std::size_t customer);
    std::size_t chooseTarget(std::size_t customer);
    std::string bodyOf(const request_record &record) const;
    std::vector<std::string> headersOf(const client_call &call) const;
    bool finished() const;

    const load_plan &m_plan;
    const std::size_t m_index;
    const std::string m_runId;
    seeded_random m_random; ///< Used for targets and retry delays.
    transfer_loop m_loop;
    std::chrono::steady_clock::time_point m_start;
    std::deque<customer_state> m_customers;
    std::multimap<duration, std::function<void()>> m_events;
    std::map<client_call *, shared_call>
            m_outstanding; ///< Requests that have started and not finished.
    std::uint64_t m_nextId = 0;
    run_records m_records;
};

} // namespace tamarackridge::load
