#pragma once

#include "tamarackridge/overload"

#include "fakes/virtual_server.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace tamarackridge::fakes {

/// \brief Called with the outcome of one attempt of a client, at most once.
using attempt_callback = std::function<void(bool served)>;

/// \brief Admission control between the clients and the server.
class admission_policy
{
public:
    admission_policy() = default;
    admission_policy(const admission_policy &) = delete;
    admission_policy &operator=(const admission_policy &) = delete;
    virtual ~admission_policy() = default;
    virtual void offer(const queue_entry &entry, attempt_callback done) = 0;
    /// \brief Called when the client no longer waits for the attempt.
    virtual void cancel(std::uint64_t) { }
};

/// \brief Limits the concurrent requests to a fixed number, without a queue.
class fixed_limit_policy final : public admission_policy
{
public:
    fixed_limit_policy(virtual_server &server, std::uint32_t limit)
        : m_server(server)
        , m_limit(limit)
    { }

    void offer(const queue_entry &, attempt_callback done) override
    {
        if (m_inFlight >= m_limit) {
            done(false);
            return;
        }
        ++m_inFlight;
        m_server.submit([this, done = std::move(done)](duration) {
            --m_inFlight;
            done(true);
        });
    }

private:
    virtual_server &m_server;
    std::uint32_t m_limit;
    std::uint32_t m_inFlight = 0;
};

/// \brief Admission control under test: admission_queue in front of concurrency_limit.
class overload_control_policy final : public admission_policy
{
public:
    overload_control_policy(event_loop &loop, virtual_server &server)
        : m_loop(loop)
        , m_server(server)
    {
        m_limit.restart(loop.now(), 0);
    }

    void offer(const queue_entry &entry, attempt_callback done) override
    {
        m_waiting[entry.id] = std::move(done);
        const admission_result result = m_queue.enqueue(entry, m_loop.now());
        if (result.kind != admission::admitted)
            finish(result.kind == admission::admitted_evicting ? result.evicted : entry.id, false);
        runReady();
    }

    void cancel(std::uint64_t id) override
    {
        m_queue.remove(id);
        m_waiting.erase(id);
    }

private:
    void runReady()
    {
        while (m_limit.inFlight() < m_limit.limit()) {
            const std::optional<std::uint64_t> id = m_queue.popReady(m_loop.now());
            if (!id)
                break;
            m_limit.tryAcquire();
            m_server.submit([this, id = *id](duration latency) {
                m_limit.release(m_loop.now(), latency, run_outcome::success);
                m_queue.observeServiceTime(latency, m_loop.now());
                finish(id, true);
                runReady();
            });
        }
        std::vector<std::uint64_t> dropped;
        m_queue.takeExpired(m_loop.now(), dropped);
        for (std::uint64_t id : dropped)
            finish(id, false);
    }

    void finish(std::uint64_t id, bool served)
    {
        const auto node = m_waiting.extract(id);
        if (!node.empty())
            node.mapped()(served);
    }

    event_loop &m_loop;
    virtual_server &m_server;
    concurrency_limit m_limit;
    admission_queue m_queue;
    std::unordered_map<std::uint64_t, attempt_callback> m_waiting;
};

/// \brief Number of requests started, and of those served in time.
struct request_count
{
    double started = 0;
    double served = 0;
    double servedShare() const { return started > 0 ? served / started : 0; }
};

/// \brief Simulates clients that retry aggressively, and an overload trigger: from second 20 to
/// second 30, demand is ten times higher and the server three times slower.
class surge_model
{
public:
    static constexpr std::uint32_t slots = 25;
    static constexpr duration serviceTime = std::chrono::milliseconds(20);
    static constexpr double baseRate = 800; ///< Requests per second; the server can run 1250.
    static constexpr int surgeBegin = 20;
    static constexpr int surgeEnd = 30;
    static constexpr int end = 70;
    static constexpr int slowdown = 3;
    static constexpr double idealDuringSurge = 1250.0 / slowdown;
    static constexpr duration timeout = std::chrono::milliseconds(500);
    static constexpr int maxAttempts = 4;

    using policy_factory =
            std::function<std::unique_ptr<admission_policy>(event_loop &, virtual_server &)>;

    explicit surge_model(const policy_factory &makePolicy)
        : m_policy(makePolicy(m_loop, m_server))
    {
        scheduleArrival();
        m_loop.after(std::chrono::seconds(surgeBegin),
                     [this] { m_server.setServiceTime(slowdown * serviceTime); });
        m_loop.after(std::chrono::seconds(surgeEnd),
                     [this] { m_server.setServiceTime(serviceTime); });
        m_loop.runUntil(m_begin + std::chrono::seconds(end));
    }

    /// \returns the requests per second served in time from second \a from to second \a to.
    double goodput(int from, int to) const
    {
        double sum = 0;
        for (int second = from; second < to; ++second)
            sum += m_served.at(second);
        return sum / (to - from);
    }

    /// \returns the seconds from the end of the trigger until goodput stays above 90% of demand.
    ///
    /// Means over three seconds are compared, since the arrivals of one second vary by more than
    /// 10%.
    int recoverySeconds() const
    {
        int second = end;
        while (second > surgeEnd
               && goodput(second - 1, std::min(second + 2, end)) >= 0.9 * baseRate)
            --second;
        return second - surgeEnd;
    }

    /// Requests started during the surge, by rank; the second index is 1 for older call chains.
    std::array<std::array<request_count, 2>, 4> surgeByRank;

private:
    struct client_request
    {
        queue_entry entry;
        int attempts = 0;
        bool finished = false;
        request_count *count = nullptr;
    };

    int second() const
    {
        return static_cast<int>((m_loop.now() - m_begin) / std::chrono::seconds(1));
    }
    bool inSurge() const { return second() >= surgeBegin && second() < surgeEnd; }

    void scheduleArrival()
    {
        const double rate = baseRate * (inSurge() ? 10 : 1);
        const double gap = -std::log(1 - m_random.unit()) / rate;
        m_loop.after(duration(static_cast<std::int64_t>(gap * 1e9)), [this] {
            beginRequest();
            scheduleArrival();
        });
    }

    void beginRequest()
    {
        const std::shared_ptr<client_request> request = std::make_shared<client_request>();
        // Of 100 requests, 40, 40, 16 and 4 have the ranks 0, 1, 2 and 3.
        const std::uint64_t draw = m_random.below(100);
        request->entry.rank = draw < 40 ? 0 : draw < 80 ? 1 : draw < 96 ? 2 : 3;
        const bool olderChain = m_random.below(4) == 0;
        request->entry.chainStart = m_loop.now() - (olderChain ? timeout : duration::zero());
        if (inSurge()) {
            request->count = &surgeByRank.at(request->entry.rank).at(olderChain ? 1 : 0);
            ++request->count->started;
        }
        send(request);
    }

    void send(const std::shared_ptr<client_request> &request)
    {
        ++request->attempts;
        queue_entry entry = request->entry;
        entry.id = ++m_lastId;
        entry.deadline = m_loop.now() + timeout;
        const std::shared_ptr<bool> open = std::make_shared<bool>(true);
        m_loop.after(timeout, [this, request, open, id = entry.id] {
            m_policy->cancel(id);
            onEnd(request, *open, false);
        });
        m_policy->offer(entry,
                        [this, request, open](bool served) { onEnd(request, *open, served); });
    }

    void onEnd(const std::shared_ptr<client_request> &request, bool &open, bool served)
    {
        if (!std::exchange(open, false) || request->finished)
            return;
        if (served) {
            request->finished = true;
            ++m_served.at(std::min(second(), end));
            if (request->count != nullptr)
                ++request->count->served;
        } else if (request->attempts < maxAttempts) {
            m_loop.after(std::chrono::milliseconds(10), [this, request] { send(request); });
        }
    }

    event_loop m_loop;
    seeded_random m_random{20261204};
    virtual_server m_server{m_loop, m_random, slots, serviceTime};
    time_point m_begin{m_loop.now()};
    std::unique_ptr<admission_policy> m_policy;
    std::array<double, end + 1> m_served{};
    std::uint64_t m_lastId = 0;
};

} // namespace tamarackridge::fakes
