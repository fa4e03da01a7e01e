#include "ctl/command_line.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DECLARE_bool(help);
DECLARE_bool(version);

namespace tamarackridge {
namespace {

void printHelp(const char *usage, const std::string &file)
{
    std::cout << usage << "\n\nFlags:\n";
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        if (flag.filename != file)
            continue;
        std::cout << "  --" << flag.name << "  " << flag.description << " (" << flag.type
                  << ", default: " << (flag.default_value.empty() ? "none" : flag.default_value)
                  << ")\n";
    }
    std::cout << "  --help  print this text\n  --version  print the version\n";
}

} // namespace

std::vector<std::string> parseCommandLine(int argc, char **argv, const char *usage,
                                          const char *file)
{
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help)
        printHelp(usage, file);
    if (FLAGS_version)
        std::cout << TAMARACKRIDGE_VERSION << "\n";
    if (FLAGS_help || FLAGS_version)
        std::exit(EXIT_SUCCESS);
    return {argv + 1, argv + argc};
}

} // namespace tamarackridge
