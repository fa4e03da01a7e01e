#pragma once

#include "load/http_transfer.h"

#include "tamarackridge/src/base/time.h"

#include <functional>
#include <memory>
#include <vector>

namespace tamarackridge::load {

/// \brief Runs HTTP transfers on one libcurl multi handle and reuses connections.
class transfer_loop
{
public:
    /// \param maxIdleConnections number of idle connections that are kept open.
    explicit transfer_loop(std::size_t maxIdleConnections);
    transfer_loop(const transfer_loop &) = delete;
    transfer_loop &operator=(const transfer_loop &) = delete;
    ~transfer_loop();

    /// \brief Starts a transfer; poll() calls \a done when it has finished.
    void start(http_transfer::request request, std::function<void(http_transfer &)> done);

    /// \brief Drives the transfers until \a due or until a transfer makes progress.
    /// \param due absolute time on the steady clock.
    void poll(std::chrono::steady_clock::time_point due);

    /// \brief Aborts all running transfers without calling their callbacks.
    void abortAll();

    std::size_t running() const { return m_running.size(); }

private:
    struct slot
    {
        http_transfer transfer;
        std::function<void(http_transfer &)> done;
        std::size_t position = 0; ///< Index in m_running.
    };
    void collectFinished();
    std::unique_ptr<slot> release(slot &finished);

    void *m_multi;
    int m_timer; ///< timerfd, since libcurl's own timeouts have a resolution of 1 ms.
    std::vector<std::unique_ptr<slot>> m_running;
    std::vector<std::unique_ptr<slot>> m_idle;
};

} // namespace tamarackridge::load
