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

/// \brief Connects a supervised thread to its supervisor: stop requests and progress reports.
class child_context
{
public:
    /// \returns whether the run function must return.
    bool stopRequested() const { return m_stop.load(std::memory_order_acquire); }
    /// \brief Reports that the thread is alive, which restarts its stall timeout.
    void reportProgress() { m_progress.fetch_add(1, std::memory_order_relaxed); }
    /// \brief Sleeps for \a duration, or until a stop is requested if that comes first.
    void waitFor(std::chrono::milliseconds duration);

private:
    friend class supervisor;

    void requestStop();

    std::atomic<bool> m_stop = false;
    std::atomic<std::uint64_t> m_progress = 0;
    std::atomic<bool> m_ended = false;
    std::string m_failure; // Written before m_ended is set.
    std::mutex m_mutex;
    std::condition_variable m_stopped;
};

/// \brief Describes a function that a supervisor runs in a dedicated thread.
struct child_spec
{
    std::string name;
    /// Must return when a stop is requested. Returning earlier or throwing counts as a failure.
    std::function<void(child_context &)> run;
    /// A child that reports no progress for this long counts as stalled.
    std::chrono::milliseconds stallTimeout{10'000};
    /// Wakes a blocked run function so that it notices a stop request at once; may be empty.
    std::function<void()> wake;
};

/// \brief Controls when failed children are restarted and when a failure escalates.
struct restart_policy
{
    std::chrono::milliseconds initialBackoff{100};
    std::chrono::milliseconds maxBackoff{5'000};
    /// Number of restarts of a child within \a window; its next failure escalates.
    std::size_t maxRestarts = 5;
    std::chrono::milliseconds window{60'000};
};

/// \brief Runs children in threads and restarts those that fail or stall.
///
/// A stalled thread can't be terminated from outside: the supervisor requests its stop, detaches it
/// and starts a new thread for the same work. After an escalation the process is expected to exit.
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
    /// \brief Checks all children at time \a now and starts those whose start time has come.
    void step(clock::time_point now);
    /// \returns whether all children are running.
    bool ready() const;
    /// \returns the name and last error of a child that failed too often, or nothing.
    std::optional<std::string> escalation() const;
    /// \returns the number of restarts of all children since construction.
    std::size_t restarts() const;
    /// \brief Stops all children in the reverse order of add(). Joins their threads, except stalled
    /// threads that were detached earlier.
    void stop();

private:
    struct child
    {
        child_spec spec;
        std::shared_ptr<child_context> context;
        std::thread thread;
        std::uint64_t lastProgress = 0;
        clock::time_point lastProgressAt;
        clock::time_point startAt;
        std::vector<clock::time_point> recentRestarts; // Within the window of the policy.
        bool running = false;
    };

    static void start(child &item, clock::time_point now);
    static std::optional<std::string> detectFailure(child &item, clock::time_point now);
    void handleFailure(child &item, const std::string &reason, clock::time_point now);

    restart_policy m_policy;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<child>> m_children;
    std::optional<std::string> m_escalation;
    std::size_t m_restarts = 0;
};

} // namespace tamarackridge
