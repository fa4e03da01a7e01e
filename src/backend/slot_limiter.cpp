#include "backend/slot_limiter.h"

#include <algorithm>

namespace tamarackridge::backend {
namespace {

/// Interval at which a waiting request checks whether its caller has closed the connection.
constexpr std::chrono::milliseconds disconnectCheckInterval{20};

} // namespace

slot_limiter::slot_limiter(std::uint32_t slots, std::uint32_t queue)
    : m_slots(slots)
    , m_queue(queue)
{ }

admission slot_limiter::acquire(steady_time_point deadline,
                                const std::function<bool()> &isCancelled)
{
    std::unique_lock lock(m_mutex);
    if (m_load.running >= m_slots && m_load.queued >= m_queue)
        return admission::queue_full;
    ++m_load.queued;
    admission outcome = admission::admitted;
    while (m_load.running >= m_slots) {
        const steady_time_point now = std::chrono::steady_clock::now();
        if (now >= deadline) {
            outcome = admission::deadline_passed;
            break;
        }
        if (isCancelled()) {
            outcome = admission::caller_disconnected;
            break;
        }
        m_slotFreed.wait_until(lock, std::min(deadline, now + disconnectCheckInterval));
    }
    --m_load.queued;
    if (outcome == admission::admitted)
        ++m_load.running;
    return outcome;
}

void slot_limiter::release()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_load.running;
    }
    m_slotFreed.notify_one();
}

request_counts slot_limiter::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_load;
}

} // namespace tamarackridge::backend
