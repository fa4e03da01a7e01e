#pragma once

#include "tamarackridge/core"

#include <functional>
#include <map>
#include <utility>

namespace tamarackridge::fakes {

/// \brief Runs events in the order of their virtual time.
class event_queue
{
public:
    time_point now() const { return m_now; }

    void at(time_point when, std::function<void()> event)
    {
        m_events.emplace(std::max(when, m_now), std::move(event));
    }
    void after(duration delay, std::function<void()> event) { at(m_now + delay, std::move(event)); }

    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        m_now = end;
    }
    void runFor(duration length) { runUntil(m_now + length); }

private:
    time_point m_now{};
    std::multimap<time_point, std::function<void()>> m_events;
};

} // namespace tamarackridge::fakes
