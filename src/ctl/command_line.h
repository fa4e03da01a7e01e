#pragma once

#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Parses the flags. For `--help`, prints the usage text and the flags defined in \a file.
///
/// The built-in help of gflags also lists the flags of every linked library, among which those of
/// the program are hard to find.
/// \param file `__FILE__` of the source that defines the program's flags.
/// \returns the positional arguments. Exits the process on `--help`, `--version` and invalid flags.
std::vector<std::string> parseCommandLine(int argc, char **argv, const char *usage,
                                          const char *file);

} // namespace tamarackridge
