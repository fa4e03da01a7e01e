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

/// \brief One thread of the load generator; it covers an equal share of every customer's arrivals.
class worker
{
public:
    /// \param runName makes load ids unique among runs and workers.
    worker(const load_plan &plan, std::size_t index, std::string runName);

    /// \brief Carries out the plan.
    /// \param start time at which the schedule begins.
    void run(std::chrono::steady_clock::time_point start);

    /// \returns what run() recorded.
    run_records takeRecords() { return std::move(m_records); }

private:
    struct customer_state
    {
        customer_state(const load_plan &plan, std::size_t customer, std::uint64_t seed);

        /// Draws arrivals and kinds only, so that they never depend on completions.
        seeded_random random;
        arrival_schedule schedule;
        id_pool ids;
        std::vector<double> targetWeights;
    };
    using shared_call = std::shared_ptr<client_call>;

    duration now() const;
    void scheduleArrival(std::size_t customer);
    void runDueEvents();
    void arrive(std::size_t customer, duration intended);
    shared_call makeCall(std::size_t customer, duration intended);
    void send(const shared_call &call, std::optional<std::size_t> target);
    void sendEnded(const shared_call &call, std::size_t sendIndex, std::size_t target,
                   http_transfer &transfer);
    void finish(const shared_call &call);
    void askForIds(std::size_t customer);
    std::size_t chooseTarget(std::size_t customer);
    std::string bodyOf(const request_record &record) const;
    std::vector<std::string> headersOf(const client_call &call) const;
    bool ended() const;

    const load_plan &m_plan;
    const std::size_t m_index;
    const std::string m_runName;
    seeded_random m_random; ///< For targets and pauses.
    transfer_loop m_loop;
    std::chrono::steady_clock::time_point m_start;
    std::deque<customer_state> m_customers;
    std::multimap<duration, std::function<void()>> m_events;
    std::map<client_call *, shared_call> m_open; ///< Requests begun and not ended.
    std::uint64_t m_nextId = 0;
    run_records m_records;
};

} // namespace tamarackridge::load
