#pragma once

#include "tamarackridge/src/base/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace tamarackridge::scenario {

/// \brief Runs events in virtual time; events at the same time run in the order of insertion.
class event_queue
{
public:
    using event = std::function<void()>;

    /// \brief Schedules an event; one in the past runs at the current time.
    void at(time_point when, event callback)
    {
        m_events.emplace(std::pair(std::max(when, m_now), m_next++), std::move(callback));
    }
    void after(duration delay, event callback) { at(m_now + delay, std::move(callback)); }

    /// \brief Runs all events up to and including \a end, which becomes the current time.
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            const auto first = m_events.begin();
            m_now = first->first.first;
            const event callback = std::move(first->second);
            m_events.erase(first);
            callback();
        }
        m_now = end;
    }
    void runFor(duration length) { runUntil(m_now + length); }
    time_point now() const { return m_now; }

private:
    std::map<std::pair<time_point, std::uint64_t>, event> m_events;
    std::uint64_t m_next = 0;
    time_point m_now{};
};

} // namespace tamarackridge::scenario
