#pragma once

#include "request_checker.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

namespace tamarackridge::soak {

/// The platform sends SIGKILL this long after SIGTERM.
constexpr std::int64_t graceSeconds = 6;
constexpr duration graceTime = std::chrono::seconds(graceSeconds);

/// \brief The sidecar process of a VM, which receives signals and is started again when it exits.
class sidecar_process
{
public:
    sidecar_process(std::size_t vm, std::string binary, const std::string &settings,
                    std::string logFile, request_checker &checker)
        : m_vm(vm)
        , m_binary(std::move(binary))
        , m_settings("--settings=" + settings)
        , m_logFile(std::move(logFile))
        , m_checker(checker)
    {
        start();
    }
    sidecar_process(const sidecar_process &) = delete;
    sidecar_process &operator=(const sidecar_process &) = delete;
    ~sidecar_process()
    {
        if (!running())
            return;
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }

    /// \param restartDelay from the exit to the restart; std::nullopt if it is not restarted.
    void terminate(std::optional<duration> restartDelay)
    {
        if (!running() || m_exitRequested)
            return;
        m_killAt = monotonicNow() + graceTime;
        stop(SIGTERM, process_event::terminated, restartDelay);
    }
    void kill(std::optional<duration> restartDelay)
    {
        if (running())
            stop(SIGKILL, process_event::killed, restartDelay);
    }
    void pause(duration length)
    {
        if (!running() || m_resumeAt)
            return;
        m_resumeAt = monotonicNow() + length;
        send(SIGSTOP, process_event::paused);
    }

    /// \brief Notices exits, and restarts, resumes or kills the process when that is due.
    void sweep(time_point now)
    {
        int status = 0;
        if (running() && waitpid(m_pid, &status, WNOHANG) == m_pid)
            exited(now, status);
        if (due(m_resumeAt, now))
            send(SIGCONT, process_event::resumed);
        if (due(m_killAt, now)) {
            // A process that was paused meanwhile did not have the whole grace time.
            if (!m_resumeAt && !m_checker.processes.disturbed(m_vm, now - graceTime, now))
                m_checker.report("a process exits within the grace time", name());
            kill(m_restartDelay);
        }
        if (due(m_startAt, now))
            start();
    }

    bool running() const { return m_pid > 0; }
    /// \returns whether the process runs and no fault of it is in progress.
    bool undisturbed() const { return running() && !m_exitRequested && !m_resumeAt; }

private:
    static bool due(std::optional<time_point> &at, time_point now)
    {
        if (!at || now < *at)
            return false;
        at.reset();
        return true;
    }

    std::string name() const { return "VM " + std::to_string(m_vm); }

    void start()
    {
        m_exitRequested = false;
        m_pid = fork();
        if (m_pid == 0)
            execute();
        if (m_pid < 0)
            throw std::runtime_error("fork failed");
        m_checker.processes.add(m_vm, process_event::started);
    }

    /// Runs in the new process.
    [[noreturn]] void execute()
    {
        constexpr int logFileMode = 0644;
        constexpr int execFailed = 127;
        const std::array<char *, 4> arguments{m_binary.data(), m_settings.data(),
                                              m_graceTime.data(), nullptr};
        // The process does not outlive the soak, even when that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logFileMode);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(arguments.front(), arguments.data());
        _exit(execFailed);
    }

    void stop(int signal, process_event event, std::optional<duration> restartDelay)
    {
        m_exitRequested = true;
        m_restartDelay = restartDelay;
        send(signal, event);
    }

    void send(int signal, process_event event)
    {
        m_checker.processes.add(m_vm, event);
        ::kill(m_pid, signal);
    }

    void exited(time_point now, int status)
    {
        m_pid = 0;
        m_killAt.reset();
        m_resumeAt.reset();
        m_checker.processes.add(m_vm, process_event::exited);
        if (!m_exitRequested || (WIFEXITED(status) && WEXITSTATUS(status) != 0))
            m_checker.report("a process exits on request only, without an error",
                             name() + ", wait status " + std::to_string(status));
        if (m_restartDelay)
            m_startAt = now + *m_restartDelay;
    }

    std::size_t m_vm;
    std::string m_binary;
    std::string m_settings;
    std::string m_graceTime = "--grace_time_s=" + std::to_string(graceSeconds);
    std::string m_logFile;
    request_checker &m_checker;
    pid_t m_pid = 0;
    bool m_exitRequested = false;
    std::optional<duration> m_restartDelay;
    std::optional<time_point> m_killAt;
    std::optional<time_point> m_resumeAt;
    std::optional<time_point> m_startAt;
};

} // namespace tamarackridge::soak
