#include "ctl/command_line.h"
#include "log/log_server.h"

#include <gflags/gflags.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>

DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on");
DEFINE_uint32(port, 7200, "TCP port to listen on");
DEFINE_double(retention_s, 86400, "seconds for which a record is kept");
DEFINE_uint64(max_records, 100000, "records kept per stream");
DEFINE_uint64(max_record_bytes, 4194304, "size of the largest record");
DEFINE_uint32(appends_per_second, 400, "appends per second for all streams; beyond it 429");

namespace {

constexpr const char *usage =
        R"(Stand-in for the platform's append-only log. Records are kept in memory only.

Usage: tamarackridge-log [flags]

  POST /streams/{name}/records                          appends the body; {"offset": n}
  GET  /streams/{name}/records?from=n&max=m&wait_ms=w   reads, waiting up to w ms for a record;
       {"first": f, "next": n, "records": [{"offset": n, "age_ms": a, "data": "..."}]}
       "first" is the oldest retained offset, "next" the one that the log assigns next. A page may
       end before it: read on from the offset after its last record.
  POST /faults   {"unavailable_ms": n}      503 for n ms, nothing is appended
                 {"delay_ms": n}            every request waits n ms
                 {"applied_but_lost": n}    the next n appends take effect and answer 504
                 {"trim_below": {"stream": "config", "offset": n}}
  GET  /faults   the faults in effect

The process ends on SIGINT or SIGTERM. Exit codes: 0 ended on request, 1 wrong flags or the address
cannot be bound.)";

void logJsonLines()
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
    limits.recordsPerStream = FLAGS_max_records;
    limits.recordBytes = FLAGS_max_record_bytes;
    limits.appendsPerSecond = FLAGS_appends_per_second;
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
    logJsonLines();
    if (!arguments.empty() || !flagsInRange()) {
        spdlog::error("wrong flags; see --help");
        return 1;
    }
    // Blocked before the server starts its threads, so that only sigwait() takes the signals.
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
    spdlog::info("ending on signal {}", signal);
    return 0;
}
