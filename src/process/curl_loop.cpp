#include "process/curl_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace tamarackridge::internal {
namespace {

constexpr std::size_t maxEventsPerWait = 64;

int actionsFor(std::uint32_t events)
{
    int actions = 0;
    if ((events & EPOLLIN) != 0)
        actions |= CURL_CSELECT_IN;
    if ((events & EPOLLOUT) != 0)
        actions |= CURL_CSELECT_OUT;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0)
        actions |= CURL_CSELECT_ERR;
    return actions;
}

} // namespace

curl_loop::curl_loop(std::size_t maxIdleConnections)
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0)
        throw std::system_error(errno, std::generic_category(), "epoll");
    epoll_event event{EPOLLIN, {.fd = m_wake.descriptor()}};
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake.descriptor(), &event);
    initialiseCurl();
    m_multi.reset(curl_multi_init());
    CURLM *const multi = m_multi.get();
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(maxIdleConnections));
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &curl_loop::onSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &curl_loop::onTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
}

curl_loop::~curl_loop()
{
    m_multi.reset(); // Closes its sockets, which calls onSocket() and so needs m_epoll.
    close(m_epoll);
}

int curl_loop::onSocket(CURL *, curl_socket_t socket, int events, void *self, void *registered)
{
    auto *const loop = static_cast<curl_loop *>(self);
    loop->updateSocket(socket, events, registered != nullptr);
    return 0;
}

void curl_loop::updateSocket(curl_socket_t socket, int events, bool registered)
{
    if (events == CURL_POLL_REMOVE) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        return;
    }
    epoll_event event{0, {.fd = socket}};
    if ((events & CURL_POLL_IN) != 0)
        event.events |= EPOLLIN;
    if ((events & CURL_POLL_OUT) != 0)
        event.events |= EPOLLOUT;
    epoll_ctl(m_epoll, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    if (!registered)
        // A pointer other than null marks the socket as registered in later calls of onSocket().
        curl_multi_assign(m_multi.get(), socket, this);
}

int curl_loop::onTimer(CURLM *, long milliseconds, void *self)
{
    auto *const loop = static_cast<curl_loop *>(self);
    if (milliseconds < 0)
        loop->m_timerDue.reset();
    else
        loop->m_timerDue = clock::now() + std::chrono::milliseconds(milliseconds);
    return 0;
}

int curl_loop::waitMilliseconds(std::chrono::milliseconds maxWait) const
{
    if (!m_timerDue)
        return static_cast<int>(maxWait.count());
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*m_timerDue - clock::now());
    return static_cast<int>(std::clamp(left, std::chrono::milliseconds(0), maxWait).count());
}

void curl_loop::wait(std::chrono::milliseconds maxWait)
{
    std::array<epoll_event, maxEventsPerWait> events{};
    const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                                 waitMilliseconds(maxWait));
    int running = 0;
    for (int i = 0; i < count; ++i) {
        const epoll_event &event = events[static_cast<std::size_t>(i)];
        if (event.data.fd == m_wake.descriptor())
            m_wake.consume();
        else
            curl_multi_socket_action(m_multi.get(), event.data.fd, actionsFor(event.events),
                                     &running);
    }
}

void curl_loop::runTimers()
{
    int running = 0;
    if (m_timerDue && *m_timerDue <= clock::now()) {
        m_timerDue.reset();
        curl_multi_socket_action(m_multi.get(), CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

} // namespace tamarackridge::internal
