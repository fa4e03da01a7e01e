#include "node/caller_table.h"

#include <poll.h>

#include <array>
#include <utility>

namespace tamarackridge {

void response_waiter::complete(http_response response)
{
    m_response = std::move(response);
    m_complete.store(true, std::memory_order_release);
    m_wake.signal();
}

bool response_waiter::wait(int socket) const
{
    std::array<pollfd, 2> watched = {pollfd{m_wake.descriptor(), POLLIN, 0},
                                     pollfd{socket, POLLRDHUP, 0}};
    for (;;) {
        // The event can be consumed only after complete() has written to it. From then on
        // complete() uses neither the waiter nor its descriptor, so both may be destroyed.
        if (m_wake.consume() && m_complete.load(std::memory_order_acquire))
            return true;
        if ((watched[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            return false;
        poll(watched.data(), watched.size(), -1);
    }
}

void caller_table::complete(call_id call, http_response response)
{
    const auto found = m_waiters.find(call);
    if (found == m_waiters.end())
        return;
    found->second->complete(std::move(response));
    m_waiters.erase(found);
}

} // namespace tamarackridge
