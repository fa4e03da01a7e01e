#pragma once

#include "deployment.h"
#include "record.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>

namespace review {

/// \brief Runs the sidecars as the platform does: starts them again when they end, and kills those
/// that exceed the memory of their machine.
class platform
{
public:
    /// \param runLine command of the deploy file, with the path of the settings filled in for each
    /// machine in place of %SETTINGS%.
    platform(std::string runLine, std::string folder, record &log)
        : m_runLine(std::move(runLine))
        , m_folder(std::move(folder))
        , m_log(log)
    { }
    platform(const platform &) = delete;
    platform &operator=(const platform &) = delete;
    ~platform() { stop(); }

    /// \brief Ends all sidecars.
    void stop()
    {
        m_stopping = true;
        if (m_watcher.joinable())
            m_watcher.join();
        for (sidecar &item : m_sidecars) {
            if (item.process > 0) {
                ::kill(item.process, SIGKILL);
                ::waitpid(item.process, nullptr, 0);
                item.process = 0;
            }
        }
    }

    void start(const std::string &settingsTemplate, const address &store)
    {
        for (std::size_t index = 0; index < machineCount; ++index) {
            const machine item{index};
            std::ofstream(settingsFile(index)) << settingsOf(item, settingsTemplate, store);
            spawn(index);
        }
        m_watcher = std::thread([this] { watch(); });
    }

    /// \returns how often sidecars of machine \a index ended by themselves, for memory or not.
    int ends(std::size_t index) const { return m_sidecars.at(index).ends; }

    /// \brief Stops the sidecar of machine \a index with SIGTERM, as planned work; it is started
    /// again.
    void restart(std::size_t index) { m_sidecars.at(index).restartRequested = true; }

private:
    struct sidecar
    {
        pid_t process = 0;
        clock_type::time_point startAt;
        std::atomic<int> ends = 0;
        std::atomic<bool> restartRequested = false;
        bool isStopping = false;
    };

    std::string settingsFile(std::size_t index) const
    {
        return m_folder + "/settings-" + std::to_string(index) + ".json";
    }

    void spawn(std::size_t index)
    {
        std::istringstream line(replaceAll(m_runLine, "%SETTINGS%", settingsFile(index)));
        std::vector<std::string> words;
        for (std::string word; line >> word;)
            words.push_back(word);
        std::vector<char *> arguments;
        arguments.reserve(words.size() + 1);
        for (std::string &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        const std::string logFile = m_folder + "/sidecar-" + std::to_string(index) + ".log";
        const pid_t process = fork();
        if (process == 0) {
            constexpr int logFileMode = 0644;
            constexpr int execFailed = 127;
            // No process outlives this program.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logFileMode);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            close_range(STDERR_FILENO + 1, ~0U, 0);
            execv(arguments.front(), arguments.data());
            _exit(execFailed);
        }
        m_sidecars.at(index).process = process;
        m_log.write("sidecar " + std::to_string(index) + " is started");
    }

    void watch()
    {
        constexpr milliseconds interval(10);
        while (!m_stopping) {
            for (std::size_t index = 0; index < machineCount; ++index)
                check(index);
            std::this_thread::sleep_for(interval);
        }
    }

    void check(std::size_t index)
    {
        constexpr milliseconds restartDelay(500);
        constexpr long memoryLimitKiB = 260L * 1024;
        sidecar &item = m_sidecars.at(index);
        if (item.process == 0) {
            if (clock_type::now() >= item.startAt)
                spawn(index);
            return;
        }
        const long peak = peakMemoryKiB(item.process);
        if (item.restartRequested.exchange(false)) {
            m_log.write("sidecar " + std::to_string(index) + " gets SIGTERM");
            ::kill(item.process, SIGTERM);
            item.isStopping = true;
        }
        if (peak > memoryLimitKiB) {
            m_log.write("sidecar " + std::to_string(index) + " is killed: it used "
                        + std::to_string(peak / 1024) + " of 260 MB");
            ::kill(item.process, SIGKILL);
            ::waitpid(item.process, nullptr, 0);
        } else {
            int status = 0;
            if (::waitpid(item.process, &status, WNOHANG) != item.process)
                return;
            m_log.write("sidecar " + std::to_string(index)
                        + (item.isStopping ? " has stopped" : " ended by itself") + ", wait status "
                        + std::to_string(status));
        }
        item.ends += item.isStopping ? 0 : 1;
        item.isStopping = false;
        item.process = 0;
        item.startAt = clock_type::now() + restartDelay;
    }

    static long peakMemoryKiB(pid_t process)
    {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::strtol(line.c_str() + sizeof "VmHWM:" - 1, nullptr, 10);
        }
        return 0;
    }

    std::string m_runLine;
    std::string m_folder;
    record &m_log;
    std::array<sidecar, machineCount> m_sidecars;
    std::atomic<bool> m_stopping = false;
    std::thread m_watcher;
};

} // namespace review
