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
/// curl_multi_perform() processes every transfer on each call; with 150 slow requests in flight
/// this costs more than the requests themselves. This class processes only transfers of ready
/// sockets.
class curl_loop
{
public:
    using clock = std::chrono::steady_clock;

    explicit curl_loop(std::size_t maxIdleConnections);
    curl_loop(const curl_loop &) = delete;
    curl_loop &operator=(const curl_loop &) = delete;
    ~curl_loop();

    CURLM *handle() const { return m_multi.get(); }
    /// \brief Ends the current or next wait(). May be called on any thread.
    void wake() const { m_wake.signal(); }
    /// \brief Waits for a ready socket, a timer or wake(), for up to \a maxWait, and processes the
    /// transfers of the ready sockets. Expired timers are left to runTimers().
    void wait(std::chrono::milliseconds maxWait);
    /// \brief Runs libcurl's expired timers. libcurl also starts new transfers through a timer.
    void runTimers();

private:
    struct multi_deleter
    {
        void operator()(CURLM *multi) const { curl_multi_cleanup(multi); }
    };

    static int onSocket(CURL *, curl_socket_t socket, int events, void *self, void *registered);
    static int onTimer(CURLM *, long milliseconds, void *self);
    void updateSocket(curl_socket_t socket, int events, bool registered);
    int waitMilliseconds(std::chrono::milliseconds maxWait) const;

    wake_event m_wake;
    int m_epoll;
    std::optional<clock::time_point> m_timerDue;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
};

} // namespace tamarackridge::internal
