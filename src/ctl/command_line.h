#pragma once

#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Parses flags; prints the usage text and the flags of \a file for `--help`.
///
/// gflags' own help lists the flags of every library, which hides those of the program.
/// \param file `__FILE__` of the source that defines the program's flags.
/// \returns the arguments that are no flags. Ends the process for `--help`, `--version` and wrong
/// flags.
std::vector<std::string> parseCommandLine(int argc, char **argv, const char *usage,
                                          const char *file);

} // namespace tamarackridge
