#pragma once

#include "tamarackridge/src/base/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::scenario {

/// \brief One line of a scenario file.
struct script_line
{
    std::size_t number = 0; ///< Line number in the file, from 1.
    std::optional<duration> at; ///< Set for `at TIME …`.
    std::string verb;
    std::vector<std::string> arguments; ///< The words after the verb.

    /// \returns the argument that follows the argument \a name, or nothing.
    std::optional<std::string> option(std::string_view name) const;
};

/// \brief An error in a scenario file or in a recorded trace.
struct script_error
{
    std::size_t line = 0;
    std::string message;
};

/// \brief Parses a scenario file: one statement per line, `#` begins a comment.
///
/// \code
/// zones a b c d
/// customer andes rate 60 burst 60
/// at 15s load andes zones a,b rate 120 for 30s writes 0.3 resends 4
/// at 15s replay recorded/demo.jsonl customer andes resends 1
/// at 20s cut a
/// at 25s heal a
/// run 60s
/// expect safe
/// expect goodput andes from 30s to 45s at-least 0.9
/// \endcode
tl::expected<std::vector<script_line>, script_error> parseScript(std::istream &in);

/// \returns a duration such as `1500ms`, `2s` or `5m`, or nothing.
std::optional<duration> parseDuration(std::string_view text);
/// \returns a non-negative number, or nothing.
std::optional<double> parseNumber(std::string_view text);
/// \returns the parts of \a text between commas.
std::vector<std::string> splitAtCommas(std::string_view text);

} // namespace tamarackridge::scenario
