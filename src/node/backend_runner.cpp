#include "node/backend_runner.h"

#include "process/supervisor.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace tamarackridge {
namespace {

constexpr std::chrono::milliseconds maxWait{500};
constexpr std::chrono::milliseconds probeTimeout{200};

// Waits until a non-blocking connect() completes and returns its error number, 0 if it succeeded.
int connectError(int socket, std::chrono::milliseconds timeout)
{
    pollfd watched{socket, POLLOUT, 0};
    if (poll(&watched, 1, static_cast<int>(timeout.count())) <= 0)
        return ETIMEDOUT;
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    return error;
}

template <class Address>
int tryConnect(int family, const Address &address, std::chrono::milliseconds timeout)
{
    const int socket = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return errno;
    int error = 0;
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        error = errno == EINPROGRESS ? connectError(socket, timeout) : errno;
    close(socket);
    return error;
}

} // namespace

bool isConnectRefused(const http_target &target, std::chrono::milliseconds timeout)
{
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(target.port);
    if (inet_pton(AF_INET, target.host.c_str(), &v4.sin_addr) == 1)
        return tryConnect(AF_INET, v4, timeout) == ECONNREFUSED;
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(target.port);
    return inet_pton(AF_INET6, target.host.c_str(), &v6.sin6_addr) == 1
           && tryConnect(AF_INET6, v6, timeout) == ECONNREFUSED;
}

backend_runner::backend_runner(http_client_options options, completion done)
    : m_done(std::move(done))
    , m_client(options, [this](std::uint64_t run, http_outcome outcome) {
        onRunEnded(run, std::move(outcome));
    })
{ }

void backend_runner::setTarget(http_target target)
{
    const std::lock_guard lock(m_mutex);
    m_target = std::move(target);
}

void backend_runner::run(run_backend item)
{
    http_target target;
    {
        const std::lock_guard lock(m_mutex);
        target = m_target;
    }
    m_client.submit(item.run, target, std::move(item.request), item.timeout);
}

void backend_runner::onRunEnded(run_id run, http_outcome outcome)
{
    finished_run finished{
            run, {outcome.bytesSent, outcome.connectionBroken, std::move(outcome.response)}};
    if (!outcome.connectionBroken) {
        std::vector<finished_run> runs;
        runs.push_back(std::move(finished));
        m_done(false, std::move(runs));
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_interruptedRuns.push_back({std::move(outcome.target), std::move(finished)});
    }
    m_connectionBroken.notify_one();
}

void backend_runner::runClient(child_context &context)
{
    while (!context.stopRequested()) {
        context.reportProgress();
        m_client.runOnce(maxWait);
    }
}

std::vector<backend_runner::interrupted_run>
backend_runner::takeInterruptedRuns(child_context &context)
{
    std::unique_lock lock(m_mutex);
    m_connectionBroken.wait_for(
            lock, maxWait, [&] { return !m_interruptedRuns.empty() || context.stopRequested(); });
    return std::exchange(m_interruptedRuns, {});
}

void backend_runner::runProber(child_context &context)
{
    while (!context.stopRequested()) {
        context.reportProgress();
        std::vector<interrupted_run> interrupted = takeInterruptedRuns(context);
        if (interrupted.empty())
            continue;
        http_target currentTarget;
        {
            const std::lock_guard lock(m_mutex);
            currentTarget = m_target;
        }
        // A broken connection to an earlier address does not indicate a crash of the current
        // server.
        const bool concernsCurrentTarget = std::any_of(
                interrupted.begin(), interrupted.end(),
                [&](const interrupted_run &item) { return item.target == currentTarget; });
        const bool crashed = concernsCurrentTarget && isConnectRefused(currentTarget, probeTimeout);
        std::vector<finished_run> runs;
        runs.reserve(interrupted.size());
        for (interrupted_run &item : interrupted)
            runs.push_back(std::move(item.finished));
        m_done(crashed, std::move(runs));
    }
}

} // namespace tamarackridge
