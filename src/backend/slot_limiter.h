#pragma once

#include "backend/connection.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

namespace tamarackridge::backend {

/// \brief Outcome of a request for a slot.
enum class admission { admitted, queue_full, deadline_passed, caller_disconnected };

/// \brief Numbers of requests in a backend server.
struct request_counts
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// \brief Limits the number of concurrent executions and of requests that wait for a slot.
class slot_limiter
{
public:
    slot_limiter(std::uint32_t slots, std::uint32_t queue);

    /// \brief Waits for a free slot until \a deadline, unless the queue is full.
    /// \param isCancelled polled while waiting; returns whether the caller has closed its
    /// connection.
    admission acquire(steady_time_point deadline, const std::function<bool()> &isCancelled);
    /// \brief Frees the slot of a request that acquire() admitted.
    void release();

    request_counts load() const;

private:
    const std::uint32_t m_slots;
    const std::uint32_t m_queue;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    request_counts m_load;
};

} // namespace tamarackridge::backend
