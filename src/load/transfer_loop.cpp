#include "load/transfer_loop.h"

#include <curl/curl.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace tamarackridge::load {
namespace {

constexpr std::int64_t nanosPerSecond = 1'000'000'000;
constexpr int maxPollMs = 1000;

void arm(int timer, std::chrono::steady_clock::time_point due)
{
    // A value of zero would disarm the timer.
    const std::int64_t nanos = std::max<std::int64_t>(
            1,
            std::chrono::duration_cast<std::chrono::nanoseconds>(due.time_since_epoch()).count());
    const itimerspec value{{0, 0}, {nanos / nanosPerSecond, nanos % nanosPerSecond}};
    timerfd_settime(timer, TFD_TIMER_ABSTIME, &value, nullptr);
}

} // namespace

transfer_loop::transfer_loop(std::size_t maxIdleConnections)
    : m_multi(curl_multi_init())
    , m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    if (m_multi == nullptr || m_timer < 0)
        throw std::runtime_error("cannot create the transfer loop");
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(maxIdleConnections));
}

transfer_loop::~transfer_loop()
{
    abortAll();
    m_idle.clear();
    curl_multi_cleanup(m_multi);
    close(m_timer);
}

void transfer_loop::start(http_transfer::request request, std::function<void(http_transfer &)> done)
{
    std::unique_ptr<slot> next;
    if (m_idle.empty()) {
        next = std::make_unique<slot>();
    } else {
        next = std::move(m_idle.back());
        m_idle.pop_back();
    }
    next->transfer.prepare(std::move(request));
    curl_easy_setopt(next->transfer.handle(), CURLOPT_PRIVATE, next.get());
    next->done = std::move(done);
    next->position = m_running.size();
    curl_multi_add_handle(m_multi, next->transfer.handle());
    m_running.push_back(std::move(next));
}

void transfer_loop::poll(std::chrono::steady_clock::time_point due)
{
    if (due > std::chrono::steady_clock::now()) {
        arm(m_timer, due);
        curl_waitfd timer{m_timer, CURL_WAIT_POLLIN, 0};
        curl_multi_poll(m_multi, &timer, 1, maxPollMs, nullptr);
    }
    int stillRunning = 0;
    curl_multi_perform(m_multi, &stillRunning);
    collectFinished();
}

void transfer_loop::abortAll()
{
    for (const std::unique_ptr<slot> &running : m_running)
        curl_multi_remove_handle(m_multi, running->transfer.handle());
    m_running.clear();
}

void transfer_loop::collectFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const bool complete = message->data.result == CURLE_OK;
        CURL *handle = message->easy_handle;
        slot *finished = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &finished);
        curl_multi_remove_handle(m_multi, handle);
        finished->transfer.finish(complete);
        std::unique_ptr<slot> owned = release(*finished);
        // The callback may start further transfers, so the slot has left m_running before it is
        // called.
        owned->done(owned->transfer);
        m_idle.push_back(std::move(owned));
    }
}

std::unique_ptr<transfer_loop::slot> transfer_loop::release(slot &finished)
{
    const std::size_t position = finished.position;
    std::unique_ptr<slot> owned = std::move(m_running[position]);
    if (position + 1 != m_running.size()) {
        m_running[position] = std::move(m_running.back());
        m_running[position]->position = position;
    }
    m_running.pop_back();
    return owned;
}

} // namespace tamarackridge::load
