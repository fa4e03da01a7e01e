#include "soak_run.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the first run; determines faults, moments, targets and delays.");
DEFINE_uint64(seeds, 1, "Number of runs, with consecutive seeds.");
DEFINE_uint64(seconds, 12, "Time during which faults begin, for each run.");
DEFINE_uint64(nodes, 5, "Number of VMs, each with a sidecar and a backend server.");
DEFINE_string(binary, "", "Path of tamarackridge-sidecar.");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs sidecars as processes, injects faults and checks the promises");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr std::uint64_t minNodes = 4; // A server of each service in each zone.
    constexpr std::uint64_t maxNodes = 200;
    if (FLAGS_nodes < minNodes || FLAGS_nodes > maxNodes
        || access(FLAGS_binary.c_str(), X_OK) != 0) {
        std::fprintf(stderr, "--binary must be a program, --nodes 4 to 200\n");
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    bool kept = true;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        const std::filesystem::path directory =
                std::filesystem::temp_directory_path()
                / ("tamarackridge-soak-" + std::to_string(seed) + '-' + std::to_string(getpid()));
        std::filesystem::create_directories(directory);
        tamarackridge::soak::soak_run run(seed, FLAGS_nodes, directory);
        // The logs of a run that kept all promises are not needed.
        if (run.run(FLAGS_binary, std::chrono::seconds(FLAGS_seconds)))
            std::filesystem::remove_all(directory);
        else
            kept = false;
    }
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
