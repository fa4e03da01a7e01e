#pragma once

#include "process/wake_event.h"

#include "tamarackridge/src/node/action.h"

#include <atomic>
#include <unordered_map>

namespace tamarackridge {

/// \brief A caller's thread that waits for its answer.
class caller_slot
{
public:
    explicit caller_slot(const wake_event &wake)
        : m_wake(wake)
    { }

    /// \brief Stores the answer and wakes the thread.
    void complete(http_response response);
    /// \brief Waits until the answer is there or the caller closed its connection.
    /// \returns whether the answer is there.
    bool wait(int socket) const;
    http_response &response() { return m_response; }

private:
    const wake_event &m_wake;
    http_response m_response;
    std::atomic<bool> m_complete = false;
};

/// \brief The callers that wait for an answer; used under the runtime's mutex.
class caller_table
{
public:
    void insert(call_id call, caller_slot &slot) { m_slots.emplace(call, &slot); }
    void erase(call_id call) { m_slots.erase(call); }
    /// \brief Completes a call; one that is no longer waiting is ignored.
    void complete(call_id call, http_response response);

private:
    std::unordered_map<call_id, caller_slot *> m_slots;
};

} // namespace tamarackridge
