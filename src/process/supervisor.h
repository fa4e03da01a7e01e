#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace tamarackridge {

/// \brief A supervised thread's view of its supervisor.
class child_context
{
public:
    /// \returns whether the run function is to return.
    bool stopRequested() const { return m_stop.load(std::memory_order_acquire); }
    /// \brief Tells the supervisor that the thread is not stalled.
    void progress() { m_progress.fetch_add(1, std::memory_order_relaxed); }
    /// \brief Sleeps, but no longer than until a stop is requested.
    void waitFor(std::chrono::milliseconds time);

private:
    friend class supervisor;

    void requestStop();

    std::atomic<bool> m_stop = false;
    std::atomic<std::uint64_t> m_progress = 0;
    std::atomic<bool> m_ended = false;
    std::string m_failure; // Written before m_ended.
    std::mutex m_mutex;
    std::condition_variable m_stopped;
};

/// \brief What a supervisor runs in a thread of its own.
struct child_spec
{
    std::string name;
    /// Returns when a stop is requested. Returning earlier or throwing counts as a failure.
    std::function<void(child_context &)> run;
    /// Without progress for this long the child counts as stalled.
    std::chrono::milliseconds stallAfter{10'000};
    /// Wakes a blocked run function, so that a stop takes effect at once; may be empty.
    std::function<void()> wake;
};

/// \brief When children are started again and when the failure escalates.
struct restart_policy
{
    std::chrono::milliseconds firstBackoff{100};
    std::chrono::milliseconds longestBackoff{5'000};
    std::size_t maxRestarts = 5; ///< Within \a window; one more escalates.
    std::chrono::milliseconds window{60'000};
};

/// \brief Runs children in threads and restarts those that fail or stall.
///
/// A stalled thread can't be ended from outside: it is told to stop and left behind, and a new
/// thread takes over its work. After an escalation the process is expected to exit.
class supervisor
{
public:
    using clock = std::chrono::steady_clock;

    explicit supervisor(restart_policy policy = {});
    supervisor(const supervisor &) = delete;
    supervisor &operator=(const supervisor &) = delete;
    ~supervisor();

    /// \brief Adds a child; it starts with the next step().
    void add(child_spec spec);
    /// \brief Checks all children at time \a now, and starts those that are due.
    void step(clock::time_point now);
    /// \returns whether all children are running.
    bool ready() const;
    /// \returns which child failed too often and why, or nothing.
    std::optional<std::string> escalation() const;
    /// \returns the number of restarts so far.
    std::size_t restarts() const;
    /// \brief Stops all children, the last added first, and waits for those that are not stalled.
    void stop();

private:
    struct child
    {
        child_spec spec;
        std::shared_ptr<child_context> context;
        std::thread thread;
        std::uint64_t seenProgress = 0;
        clock::time_point progressAt;
        clock::time_point startAt;
        std::vector<clock::time_point> restarts; // Within the window of the policy.
        bool running = false;
    };

    static void start(child &item, clock::time_point now);
    static std::optional<std::string> failureOf(child &item, clock::time_point now);
    void handleFailure(child &item, const std::string &reason, clock::time_point now);

    restart_policy m_policy;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<child>> m_children;
    std::optional<std::string> m_escalation;
    std::size_t m_restarts = 0;
};

} // namespace tamarackridge
