#include "process/supervisor.h"

#include "process/log.h"

#include <algorithm>

#include <pthread.h>

namespace tamarackridge {
namespace {

constexpr std::size_t maxThreadNameLength = 15; // Limit of the Linux kernel.

} // namespace

void child_context::waitFor(std::chrono::milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    m_stopped.wait_for(lock, duration, [this] { return stopRequested(); });
}

void child_context::requestStop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop.store(true, std::memory_order_release);
    }
    m_stopped.notify_all();
}

supervisor::supervisor(restart_policy policy)
    : m_policy(policy)
{ }

supervisor::~supervisor()
{
    stop();
}

void supervisor::add(child_spec spec)
{
    const std::lock_guard lock(m_mutex);
    m_children.push_back(std::make_unique<child>());
    m_children.back()->spec = std::move(spec);
}

void supervisor::start(child &item, clock::time_point now)
{
    item.context = std::make_shared<child_context>();
    item.lastProgress = 0;
    item.lastProgressAt = now;
    item.running = true;
    item.thread = std::thread([context = item.context, run = item.spec.run,
                               name = item.spec.name.substr(0, maxThreadNameLength)] {
        pthread_setname_np(pthread_self(), name.c_str());
        try {
            run(*context);
            if (!context->stopRequested())
                context->m_failure = "returned early";
        } catch (const std::exception &error) {
            context->m_failure = error.what();
        }
        context->m_ended.store(true, std::memory_order_release);
    });
}

std::optional<std::string> supervisor::detectFailure(child &item, clock::time_point now)
{
    if (item.context->m_ended.load(std::memory_order_acquire))
        return item.context->m_failure;
    const std::uint64_t progress = item.context->m_progress.load(std::memory_order_relaxed);
    if (progress != item.lastProgress) {
        item.lastProgress = progress;
        item.lastProgressAt = now;
    }
    if (now - item.lastProgressAt >= item.spec.stallTimeout)
        return "made no progress";
    return std::nullopt;
}

void supervisor::handleFailure(child &item, const std::string &reason, clock::time_point now)
{
    logLine(log_level::error, "child failed", {{"child", item.spec.name}, {"reason", reason}});
    item.context->requestStop();
    if (item.context->m_ended.load(std::memory_order_acquire))
        item.thread.join();
    else
        item.thread.detach();
    item.running = false;
    std::erase_if(item.recentRestarts,
                  [&](clock::time_point at) { return now - at > m_policy.window; });
    if (item.recentRestarts.size() >= m_policy.maxRestarts) {
        m_escalation = item.spec.name + ": " + reason;
        return;
    }
    std::chrono::milliseconds backoff = m_policy.initialBackoff;
    for (std::size_t i = 0; i < item.recentRestarts.size(); ++i)
        backoff = std::min(backoff * 2, m_policy.maxBackoff);
    item.startAt = now + backoff;
    item.recentRestarts.push_back(now);
    ++m_restarts;
}

void supervisor::step(clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    for (const std::unique_ptr<child> &item : m_children) {
        if (m_escalation)
            return;
        if (item->running) {
            if (const std::optional<std::string> reason = detectFailure(*item, now))
                handleFailure(*item, *reason, now);
        } else if (now >= item->startAt) {
            start(*item, now);
        }
    }
}

bool supervisor::ready() const
{
    const std::lock_guard lock(m_mutex);
    return !m_escalation
           && std::all_of(m_children.begin(), m_children.end(),
                          [](const std::unique_ptr<child> &item) { return item->running; });
}

std::optional<std::string> supervisor::escalation() const
{
    const std::lock_guard lock(m_mutex);
    return m_escalation;
}

std::size_t supervisor::restarts() const
{
    const std::lock_guard lock(m_mutex);
    return m_restarts;
}

void supervisor::stop()
{
    const std::lock_guard lock(m_mutex);
    for (auto item = m_children.rbegin(); item != m_children.rend(); ++item) {
        if (!(*item)->running)
            continue;
        (*item)->context->requestStop();
        if ((*item)->spec.wake)
            (*item)->spec.wake();
        (*item)->thread.join();
        (*item)->running = false;
    }
    m_children.clear();
}

} // namespace tamarackridge
