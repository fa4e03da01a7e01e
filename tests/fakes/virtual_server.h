#pragma once

#include "tamarackridge/core"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace tamarackridge::fakes {

/// \brief Virtual clock that runs scheduled functions in order of their time.
class event_loop
{
public:
    time_point now() const { return m_now; }

    void after(duration delay, std::function<void()> run)
    {
        m_events.emplace(m_now + delay, std::move(run));
    }

    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = end;
    }

private:
    time_point m_now{std::chrono::hours(1)};
    /// Events of equal time run in the order in which they were scheduled.
    std::multimap<time_point, std::function<void()>> m_events;
};

/// \brief Simulated backend server with a fixed number of slots and an unbounded queue.
///
/// A queued request is executed even if its caller has gone, as in a server that detects a closed
/// connection only when it writes the response.
class virtual_server
{
public:
    virtual_server(event_loop &loop, random_source &random, std::uint32_t slots,
                   duration meanServiceTime)
        : m_loop(loop)
        , m_random(random)
        , m_slots(slots)
        , m_meanServiceTime(meanServiceTime)
    { }

    void setServiceTime(duration meanServiceTime) { m_meanServiceTime = meanServiceTime; }

    /// \param done called with the latency when the request has been executed.
    void submit(std::function<void(duration)> done)
    {
        m_queue.emplace_back(m_loop.now(), std::move(done));
        startRuns();
    }

private:
    void startRuns()
    {
        while (m_running < m_slots && !m_queue.empty()) {
            ++m_running;
            const auto [since, done] = std::move(m_queue.front());
            m_queue.pop_front();
            // Service times are uniformly distributed between 0.5 and 1.5 times their mean.
            const double factor = 0.5 + m_random.unit();
            const duration length(static_cast<std::int64_t>(factor * m_meanServiceTime.count()));
            m_loop.after(length, [this, since = since, done = done] {
                --m_running;
                done(m_loop.now() - since);
                startRuns();
            });
        }
    }

    event_loop &m_loop;
    random_source &m_random;
    std::uint32_t m_slots;
    duration m_meanServiceTime;
    std::uint32_t m_running = 0;
    std::deque<std::pair<time_point, std::function<void(duration)>>> m_queue;
};

} // namespace tamarackridge::fakes
