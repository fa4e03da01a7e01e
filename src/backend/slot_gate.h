#pragma once

#include "backend/connection.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

namespace tamarackridge::backend {

/// \brief Outcome of asking for a slot.
enum class admission { admitted, full, deadline_passed, caller_gone };

/// \brief Number of requests in a backend server.
struct gate_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// \brief Limits concurrent executions to the slots and the waiting requests to a bounded queue.
class slot_gate
{
public:
    slot_gate(std::uint32_t slots, std::uint32_t queue);

    /// \brief Waits for a free slot.
    /// \param isGone asked repeatedly while waiting; true when the caller has closed its
    /// connection.
    admission enter(steady_time deadline, const std::function<bool()> &isGone);
    /// \brief Frees a slot that enter() admitted.
    void leave();

    gate_load load() const;

private:
    const std::uint32_t m_slots;
    const std::uint32_t m_queue;
    mutable std::mutex m_mutex;
    std::condition_variable m_freed;
    gate_load m_load;
};

} // namespace tamarackridge::backend
