#pragma once

#include "process/wake_event.h"

#include "tamarackridge/src/node/action.h"

#include <atomic>
#include <unordered_map>

namespace tamarackridge {

/// \brief Lets the thread of a caller's connection wait for the response to one request.
class response_waiter
{
public:
    explicit response_waiter(const wake_event &wake)
        : m_wake(wake)
    { }

    /// \brief Stores the response and wakes the waiting thread.
    void complete(http_response response);
    /// \brief Waits until complete() was called or the caller closed its connection.
    /// \param socket the caller's connection.
    /// \returns whether a response is available.
    bool wait(int socket) const;
    http_response &response() { return m_response; }

private:
    const wake_event &m_wake;
    http_response m_response;
    std::atomic<bool> m_complete = false;
};

/// \brief The calls whose callers wait for a response.
///
/// Not synchronised: all functions must be called while node_runtime holds its mutex.
class caller_table
{
public:
    void insert(call_id call, response_waiter &waiter) { m_waiters.emplace(call, &waiter); }
    void erase(call_id call) { m_waiters.erase(call); }
    /// \brief Passes the response to the waiting caller; ignored if the caller no longer waits.
    void complete(call_id call, http_response response);

private:
    std::unordered_map<call_id, response_waiter *> m_waiters;
};

} // namespace tamarackridge
