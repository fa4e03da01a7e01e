#pragma once

#include "process/curl_support.h"
#include "process/wake_event.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace tamarackridge::internal {

/// \brief Drives a libcurl multi handle with epoll.
///
/// curl_multi_perform() visits every transfer, whatever happened; with 150 slow requests under way
/// those visits cost more than the requests. Here only the transfers of ready sockets are visited.
class curl_loop
{
public:
    using clock = std::chrono::steady_clock;

    explicit curl_loop(std::size_t keptConnections);
    curl_loop(const curl_loop &) = delete;
    curl_loop &operator=(const curl_loop &) = delete;
    ~curl_loop();

    CURLM *handle() const { return m_multi.get(); }
    /// \brief Ends the present or next wait; may be called on any thread.
    void wake() const { m_wake.signal(); }
    /// \brief Waits for a socket, a timer or wake(), for up to \a longest, and carries out what the
    /// sockets are ready for.
    void wait(std::chrono::milliseconds longest);
    /// \brief Carries out libcurl's timers that are due; transfers begin in the same way.
    void runTimers();

private:
    struct multi_deleter
    {
        void operator()(CURLM *multi) const { curl_multi_cleanup(multi); }
    };

    static int onSocket(CURL *, curl_socket_t socket, int events, void *self, void *known);
    static int onTimer(CURLM *, long milliseconds, void *self);
    void watch(curl_socket_t socket, int events, bool known);
    int waitMilliseconds(std::chrono::milliseconds longest) const;

    wake_event m_wake;
    int m_epoll;
    std::optional<clock::time_point> m_timerDue;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
};

} // namespace tamarackridge::internal
