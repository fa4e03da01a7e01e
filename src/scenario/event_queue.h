#pragma once

#include "tamarackridge/src/base/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace tamarackridge::scenario {

/// \brief Events in virtual time; those of one instant run in the order in which they were added.
class event_queue
{
public:
    using event = std::function<void()>;

    void at(time_point when, event what)
    {
        m_events.emplace(std::pair(std::max(when, m_now), m_next++), std::move(what));
    }
    void after(duration delay, event what) { at(m_now + delay, std::move(what)); }

    /// \brief Runs all events up to \a end.
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            const auto first = m_events.begin();
            m_now = first->first.first;
            const event what = std::move(first->second);
            m_events.erase(first);
            what();
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
