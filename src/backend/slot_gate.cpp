#include "backend/slot_gate.h"

#include <algorithm>

namespace tamarackridge::backend {
namespace {

/// Closed connections of waiting requests are noticed after at most this time.
constexpr std::chrono::milliseconds goneCheckInterval{20};

} // namespace

slot_gate::slot_gate(std::uint32_t slots, std::uint32_t queue)
    : m_slots(slots)
    , m_queue(queue)
{ }

admission slot_gate::enter(steady_time deadline, const std::function<bool()> &isGone)
{
    std::unique_lock lock(m_mutex);
    if (m_load.running >= m_slots && m_load.queued >= m_queue)
        return admission::full;
    ++m_load.queued;
    admission outcome = admission::admitted;
    while (m_load.running >= m_slots) {
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= deadline) {
            outcome = admission::deadline_passed;
            break;
        }
        if (isGone()) {
            outcome = admission::caller_gone;
            break;
        }
        m_freed.wait_until(lock, std::min(deadline, now + goneCheckInterval));
    }
    --m_load.queued;
    if (outcome == admission::admitted)
        ++m_load.running;
    return outcome;
}

void slot_gate::leave()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_load.running;
    }
    m_freed.notify_one();
}

gate_load slot_gate::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_load;
}

} // namespace tamarackridge::backend
