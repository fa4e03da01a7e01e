#include "ctl/command_line.h"
#include "log/log_server.h"

#include <gflags/gflags.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>

DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on");
DEFINE_uint32(port, 7200, "TCP port to listen on");
DEFINE_double(retention_s, 86400, "retention period of a record, seconds");
DEFINE_uint64(max_records, 100000, "maximum number of retained records per stream");
DEFINE_uint64(max_record_bytes, 4194304, "maximum size of a record, bytes");
DEFINE_uint32(appends_per_second, 400,
              "maximum appends per second over all streams; above it, 429");

namespace {

constexpr const char *usage =
        R"(Stand-in for the platform's append-only log. Records are kept in memory only.

Usage: tamarackridge-log [flags]

  POST /streams/{name}/records                          appends the body as a record; {"offset": n}
  GET  /streams/{name}/records?from=n&max=m&wait_ms=w   reads records, waits up to w ms for one;
       {"first": f, "next": n, "records": [{"offset": n, "age_ms": a, "data": "..."}]}
       "first" is the oldest retained offset, "next" the one that the log assigns next. A page may
       end before "next": continue from the offset after its last record.
  POST /faults   {"unavailable_ms": n}      every request fails with 503 for n ms
                 {"delay_ms": n}            every request is delayed by n ms
                 {"applied_but_lost": n}    the next n appends take effect but fail with 504
                 {"trim_below": {"stream": "config", "offset": n}}   drops the records below n
  GET  /faults   the faults in effect

The process exits on SIGINT or SIGTERM. Exit codes: 0 stopped by a signal, 1 invalid flags or the
address cannot be bound.)";

void configureJsonLogging()
{
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
            "log", std::make_shared<spdlog::sinks::stderr_sink_mt>()));
    spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","message":"%v"})",
                        spdlog::pattern_time_type::utc);
}

tamarackridge::log_limits limitsFromFlags()
{
    tamarackridge::log_limits limits;
    limits.retention = std::chrono::duration_cast<tamarackridge::duration>(
            std::chrono::duration<double>(FLAGS_retention_s));
    limits.maxRecordsPerStream = FLAGS_max_records;
    limits.maxRecordBytes = FLAGS_max_record_bytes;
    limits.maxAppendsPerSecond = FLAGS_appends_per_second;
    return limits;
}

bool flagsInRange()
{
    constexpr double maxRetentionSeconds = 10 * 365 * 86400.0;
    return FLAGS_port >= 1 && FLAGS_port <= 65535 && FLAGS_retention_s > 0
           && FLAGS_retention_s <= maxRetentionSeconds && FLAGS_max_records >= 1
           && FLAGS_max_record_bytes >= 1 && FLAGS_max_record_bytes <= (1U << 30U);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments =
            tamarackridge::parseCommandLine(argc, argv, usage, __FILE__);
    configureJsonLogging();
    if (!arguments.empty() || !flagsInRange()) {
        spdlog::error("invalid flags; see --help");
        return 1;
    }
    // Blocks the signals before the server starts its threads, so that only sigwait() receives
    // them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    tamarackridge::log_service service(limitsFromFlags());
    const tamarackridge::log_server server(service, FLAGS_address,
                                           static_cast<std::uint16_t>(FLAGS_port));
    if (!server.listening()) {
        spdlog::error("cannot listen on {}:{}", FLAGS_address, FLAGS_port);
        return 1;
    }
    spdlog::info("listening on {}:{}", FLAGS_address, FLAGS_port);
    int signal = 0;
    sigwait(&signals, &signal);
    spdlog::info("received signal {}, shutting down", signal);
    return 0;
}
