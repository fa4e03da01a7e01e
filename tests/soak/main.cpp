#include "soak_run.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

DEFINE_uint64(seed, 1, "Seed of the first run; determines faults, moments, targets and delays.");
DEFINE_uint64(seeds, 1, "Number of runs, with consecutive seeds.");
DEFINE_uint64(seconds, 15, "Time during which faults begin, for each run.");
DEFINE_uint64(nodes, 6, "Number of VMs, each with a sidecar and a backend server.");
DEFINE_string(binary, "", "Path of tamarackridge-sidecar.");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs sidecars as processes, injects faults and checks the promises");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    constexpr std::uint64_t minNodes = 2;
    constexpr std::uint64_t maxNodes = 200;
    if (FLAGS_nodes < minNodes || FLAGS_nodes > maxNodes
        || access(FLAGS_binary.c_str(), X_OK) != 0) {
        std::fprintf(stderr, "--binary must be a program, and --nodes between 2 and 200\n");
        return EXIT_FAILURE;
    }
    bool kept = true;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        tamarackridge::soak::run_options options;
        options.seed = seed;
        options.faultTime = std::chrono::seconds(FLAGS_seconds);
        options.vms = FLAGS_nodes;
        options.binary = FLAGS_binary;
        options.directory =
                std::filesystem::temp_directory_path()
                / ("tamarackridge-soak-" + std::to_string(getpid()) + '-' + std::to_string(seed));
        std::filesystem::create_directories(options.directory);
        if (tamarackridge::soak::soak_run(options).run())
            std::filesystem::remove_all(options.directory);
        else
            kept = false;
    }
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
