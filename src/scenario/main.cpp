#include "scenario/script.h"
#include "scenario/script_runner.h"

#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>

DEFINE_bool(quiet, false, "print failed expectations only");

namespace {

using namespace tamarackridge::scenario;

int runFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        std::cerr << fileName << ": cannot be read\n";
        return 1;
    }
    tl::expected<std::vector<script_line>, script_error> script = parseScript(file);
    if (!script) {
        std::cerr << fileName << ":" << script.error().line << ": " << script.error().message
                  << "\n";
        return 1;
    }
    script_runner runner(std::move(*script),
                         std::filesystem::path(fileName).parent_path().string());
    const tl::expected<std::vector<expectation_result>, script_error> results = runner.run();
    if (!results) {
        std::cerr << fileName << ":" << results.error().line << ": " << results.error().message
                  << "\n";
        return 1;
    }
    int failed = 0;
    for (const expectation_result &result : *results) {
        failed += result.held ? 0 : 1;
        if (!result.held || !FLAGS_quiet)
            std::cout << fileName << ":" << result.line << ": "
                      << (result.held ? "held: " : "FAILED: ") << result.text << "\n";
    }
    return failed == 0 ? 0 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
            "runs scenario files against the decision library in virtual time\n"
            "Usage: tamarackridge-scenario [flags] FILE...\n"
            "Exit codes: 0 all expectations held, 1 a file is invalid or cannot be read, "
            "2 an expectation failed");
    gflags::SetVersionString(TAMARACKRIDGE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2) {
        std::cerr << "no scenario file given; see --help\n";
        return 1;
    }
    int worst = 0;
    for (int index = 1; index < argc; ++index)
        worst = std::max(worst, runFile(argv[index]));
    return worst;
}
