#include "backend/announcer.h"
#include "backend/http_server.h"
#include "backend/request_handler.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <random>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 selects a free one, which is printed");
DEFINE_string(node_url, "", "base URL of the local node; if empty, the server is not announced");
DEFINE_string(service, "service", "name of the service");
DEFINE_int32(slots, 16, "maximum number of concurrent executions");
DEFINE_int32(queue, 16, "maximum number of requests that wait for a slot; above it, 503");
DEFINE_int32(max_connections, 1000, "maximum number of open connections");
DEFINE_double(median_ms, 5.0, "median of the log-normal service time, milliseconds");
DEFINE_double(sigma, 0.3, "sigma of the log-normal service time");
DEFINE_double(cold_seconds, 0.0, "duration of the cold start, seconds");
DEFINE_double(cold_factor, 3.0, "slow-down factor at the beginning of the cold start");
DEFINE_int32(answer_bytes, 256, "length of the payload of a response, bytes");
DEFINE_int32(load_lag_ms, 0, "age of the load that /load reports, milliseconds");
DEFINE_double(load_factor, 1.0, "ratio of the load that /load reports to the actual load");
DEFINE_string(onward, "",
              "onward (downstream) calls per request: PATH or METHOD:PATH, comma-separated");
DEFINE_int32(onward_retries, 0, "additional attempts by this server after a failed onward call");
DEFINE_string(journal, "", "file of the execution journal, one JSON line per event");
DEFINE_int32(leave_ms, 3000, "minimum time to accept new requests after SIGTERM, milliseconds");
DEFINE_int32(drain_ms, 30000,
             "maximum time after SIGTERM to wait for running requests, milliseconds");

namespace {

using namespace tamarackridge::backend;

std::string randomInstance()
{
    std::random_device device;
    const std::uint64_t high = device();
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>((high << 32U) | device()));
    return text;
}

server_options optionsFromFlags(const std::string &instance)
{
    server_options options;
    options.service = FLAGS_service;
    options.instance = instance;
    options.slots = static_cast<std::uint32_t>(FLAGS_slots);
    options.queue = static_cast<std::uint32_t>(FLAGS_queue);
    options.serviceTime = {FLAGS_median_ms, FLAGS_sigma, FLAGS_cold_seconds, FLAGS_cold_factor};
    options.responseBytes = static_cast<std::size_t>(FLAGS_answer_bytes);
    options.loadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
    options.loadFactor = FLAGS_load_factor;
    options.journalPath = FLAGS_journal;
    options.onward = {FLAGS_node_url, parseOnwardCalls(FLAGS_onward),
                      static_cast<unsigned>(FLAGS_onward_retries)};
    return options;
}

/// \brief Waits until --leave_ms have passed and no request runs or waits, but at most --drain_ms.
void drain(const request_handler &handler)
{
    constexpr std::chrono::milliseconds checkInterval{20};
    const steady_time_point start = std::chrono::steady_clock::now();
    const steady_time_point earliest = start + std::chrono::milliseconds(FLAGS_leave_ms);
    const steady_time_point latest = start + std::chrono::milliseconds(FLAGS_drain_ms);
    for (;;) {
        const steady_time_point now = std::chrono::steady_clock::now();
        const request_counts load = handler.load();
        if (now >= latest || (now >= earliest && load.running + load.queued == 0))
            return;
        std::this_thread::sleep_for(checkInterval);
    }
}

int serveUntilSignal()
{
    // Blocks the signals before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);

    const std::string instance = randomInstance();
    request_handler handler(optionsFromFlags(instance));
    const http_server server(static_cast<std::uint16_t>(FLAGS_port),
                             static_cast<unsigned>(FLAGS_max_connections), handler);
    announcer announcement({FLAGS_node_url, FLAGS_service, instance, server.port(),
                            static_cast<std::uint32_t>(FLAGS_slots)});
    std::printf("{\"service\":\"%s\",\"instance\":\"%s\",\"port\":%u}\n", FLAGS_service.c_str(),
                instance.c_str(), server.port());
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    announcement.announceLeaving();
    drain(handler);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetVersionString(TAMARACKRIDGE_VERSION);
    gflags::SetUsageMessage("stand-in for a backend server");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return serveUntilSignal();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "tamarackridge-backend: %s\n", error.what());
        return 1;
    }
}
