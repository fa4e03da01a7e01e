#include "node/fleet_key.h"
#include "node/node_app.h"
#include "node/trace_lines.h"
#include "process/json_line.h"

#include <gflags/gflags.h>

#include <malloc.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

DEFINE_string(settings, "", "settings file (JSON with comments)");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(new_fleet_key, false, "print a new key pair for the field peers and exit");
DEFINE_string(print_trace, "", "print the spans of this trace id in order and exit");
DEFINE_string(trace_file, "",
              "trace file for --print_trace; further files may follow as arguments");

namespace tamarackridge {
namespace {

constexpr int exitFailure = 1;
constexpr int exitInvalidSettings = 2;
constexpr long superviseIntervalNanoseconds = 100'000'000;
// Each connection has a thread. With glibc's default of 8 arenas for each core, freed memory would
// be spread over many arenas and could not be reused by other connections.
constexpr int mallocArenas = 4;

int printTraceFiles(int argc, char **argv)
{
    std::vector<std::string> names(argv + 1, argv + argc);
    if (!FLAGS_trace_file.empty())
        names.insert(names.begin(), FLAGS_trace_file);
    std::vector<std::string> lines;
    for (const std::string &name : names) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << "cannot read " << name << '\n';
            return exitFailure;
        }
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
    }
    for (const std::string &line : printTrace(FLAGS_print_trace, lines))
        std::cout << line << '\n';
    return EXIT_SUCCESS;
}

int printNewFleetKey()
{
    const key_pair keys = newKeyPair();
    std::cout << json_line()
                         .add("public_key", keys.publicKey)
                         .add("secret_key", keys.secretKey)
                         .finish()
              << '\n';
    return EXIT_SUCCESS;
}

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, number);
    return signals;
}

void reloadLogLevel()
{
    node_settings settings;
    if (!readNodeSettings(FLAGS_settings, settings).empty()) {
        logLine(log_level::error, "settings have faults; the log level stays");
        return;
    }
    setLogLevel(*logLevelFrom(settings.logLevel));
    logLine(log_level::info, "log level set", {{"to", settings.logLevel}});
}

// Each caller connection uses two file descriptors, so the usual limit of 1,024 is soon reached.
void raiseFileDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int serve(const node_settings &settings)
{
    raiseFileDescriptorLimit();
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr); // Inherited by all threads of the node.
    std::signal(SIGPIPE, SIG_IGN);
    node_app node(settings);
    while (!node.drained()) {
        const timespec wait{0, superviseIntervalNanoseconds};
        const int number = sigtimedwait(&signals, nullptr, &wait);
        if (number == SIGHUP)
            reloadLogLevel();
        else if (number > 0)
            node.drain();
        if (const std::optional<std::string> reason = node.supervise()) {
            logLine(log_level::error, "a thread failed too often", {{"reason", *reason}});
            std::_Exit(exitFailure); // Skips destructors, which would wait for stalled threads.
        }
    }
    return EXIT_SUCCESS;
}

int runNode()
{
    mallopt(M_ARENA_MAX, mallocArenas);
    node_settings settings;
    const std::vector<settings_error> errors = readNodeSettings(FLAGS_settings, settings);
    for (const settings_error &error : errors)
        std::cerr << toString(error) << '\n';
    if (!errors.empty())
        return exitInvalidSettings;
    if (FLAGS_check_settings) {
        std::cout << "settings are correct\n";
        return EXIT_SUCCESS;
    }
    setUpLog(*logLevelFrom(settings.logLevel));
    try {
        return serve(settings);
    } catch (const std::exception &error) {
        logLine(log_level::error, "the node did not start", {{"reason", error.what()}});
        return exitFailure;
    }
}

} // namespace
} // namespace tamarackridge

int main(int argc, char **argv)
{
    gflags::SetVersionString(TAMARACKRIDGE_VERSION);
    gflags::SetUsageMessage("runs a node of tamarackridge beside a backend server");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!FLAGS_print_trace.empty())
        return tamarackridge::printTraceFiles(argc, argv);
    if (FLAGS_new_fleet_key)
        return tamarackridge::printNewFleetKey();
    return tamarackridge::runNode();
}
