#pragma once

#include "scenario/event_queue.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/node_core.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tamarackridge::scenario {

/// \brief One execution of a request, as seen by the backend server.
struct execution_record
{
    std::string marker; ///< Value of the `X-Request-Marker` header.
    std::string node;
    std::string customer;
    time_point began;
    bool finished = false;
    bool sawKey = false; ///< Whether the request carried a key.
};

/// \brief Settings of a fake backend server.
struct backend_model
{
    std::string service;
    std::uint32_t slots = 100;
    duration serviceTime = std::chrono::milliseconds(10);
    std::vector<std::string> onward; ///< Targets called through the own node, one after another.
};

/// \brief Fake backend server: slots, a queue of its own, service times, freezing and crashes.
class virtual_backend
{
public:
    using result_sink = std::function<void(run_id run, backend_result result)>;
    using onward_call = std::function<void(const http_request &request,
                                           std::function<void(const http_response &)> done)>;
    using crash_sink = std::function<void()>;

    virtual_backend(backend_model model, std::string node, event_queue &events,
                    random_source &random, std::vector<execution_record> &history);

    void connect(result_sink results, onward_call onward, crash_sink crashed);
    void run(const run_backend &request);
    void cancel(run_id run);
    /// \brief Ends the process: everything running breaks.
    void crash();
    void restart();
    void setFrozen(bool frozen) { m_frozen = frozen; }
    void setServiceTime(duration time) { m_model.serviceTime = time; }
    const backend_model &model() const { return m_model; }
    const std::string &instance() const { return m_instance; }
    bool up() const { return m_up; }

private:
    struct running
    {
        std::size_t record = 0;
        http_request request;
        std::size_t nextOnward = 0;
        bool started = false;
    };

    void startQueued();
    void begin(run_id run);
    void callOnward(run_id run);
    void complete(run_id run, int status);

    backend_model m_model;
    std::string m_node;
    event_queue &m_events;
    random_source &m_random;
    std::vector<execution_record> &m_history;
    result_sink m_results;
    onward_call m_onward;
    crash_sink m_crashed;
    std::map<run_id, running> m_running;
    std::vector<run_id> m_queue;
    std::uint32_t m_busy = 0;
    std::uint64_t m_generation = 1;
    std::string m_instance = "1";
    bool m_frozen = false;
    bool m_up = true;
};

} // namespace tamarackridge::scenario
