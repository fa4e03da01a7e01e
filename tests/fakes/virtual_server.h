#pragma once

#include "tamarackridge/core"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace tamarackridge::fakes {

/// \brief Virtual clock that runs scheduled functions in order of time.
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
    std::multimap<time_point, std::function<void()>> m_events; ///< Equal times in order of after().
};

/// \brief Backend server with a number of slots and an unbounded queue of its own.
///
/// A request that started to wait is run even when nobody waits for the answer any more, as a
/// server does that notices a closed connection only when it writes.
class virtual_server
{
public:
    virtual_server(event_loop &loop, random_source &random, std::uint32_t slots, duration service)
        : m_loop(loop)
        , m_random(random)
        , m_slots(slots)
        , m_service(service)
    { }

    void setServiceTime(duration service) { m_service = service; }

    /// \param done called with the latency when the answer is complete.
    void submit(std::function<void(duration)> done)
    {
        m_waiting.emplace_back(m_loop.now(), std::move(done));
        startRuns();
    }

private:
    void startRuns()
    {
        while (m_running < m_slots && !m_waiting.empty()) {
            ++m_running;
            const auto [since, done] = std::move(m_waiting.front());
            m_waiting.pop_front();
            // Service times are spread evenly between half and one and a half of their mean.
            const double factor = 0.5 + m_random.unit();
            const duration length(static_cast<std::int64_t>(factor * m_service.count()));
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
    duration m_service;
    std::uint32_t m_running = 0;
    std::deque<std::pair<time_point, std::function<void(duration)>>> m_waiting;
};

} // namespace tamarackridge::fakes
