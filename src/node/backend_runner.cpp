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

constexpr std::chrono::milliseconds longestWait{500};
constexpr std::chrono::milliseconds probeTimeout{200};

// Waits for the outcome of a non-blocking connect().
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
    , m_client(options,
               [this](std::uint64_t run, http_outcome outcome) { finish(run, std::move(outcome)); })
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

void backend_runner::finish(run_id run, http_outcome outcome)
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
        m_suspects.push_back({std::move(outcome.target), std::move(finished)});
    }
    m_broken.notify_one();
}

void backend_runner::runClient(child_context &context)
{
    while (!context.stopRequested()) {
        context.progress();
        m_client.runOnce(longestWait);
    }
}

std::vector<backend_runner::suspect_run> backend_runner::takeSuspects(child_context &context)
{
    std::unique_lock lock(m_mutex);
    m_broken.wait_for(lock, longestWait,
                      [&] { return !m_suspects.empty() || context.stopRequested(); });
    return std::exchange(m_suspects, {});
}

void backend_runner::runProber(child_context &context)
{
    while (!context.stopRequested()) {
        context.progress();
        std::vector<suspect_run> suspects = takeSuspects(context);
        if (suspects.empty())
            continue;
        http_target present;
        {
            const std::lock_guard lock(m_mutex);
            present = m_target;
        }
        // A broken connection to an earlier address says nothing about the present server.
        const bool concernsPresent =
                std::any_of(suspects.begin(), suspects.end(),
                            [&](const suspect_run &item) { return item.target == present; });
        const bool crashed = concernsPresent && isConnectRefused(present, probeTimeout);
        std::vector<finished_run> runs;
        runs.reserve(suspects.size());
        for (suspect_run &item : suspects)
            runs.push_back(std::move(item.finished));
        m_done(crashed, std::move(runs));
    }
}

} // namespace tamarackridge
