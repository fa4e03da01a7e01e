#pragma once

#include "load/field_reader.h"
#include "load/report.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::load {

/// \brief Lower and upper bound of one value of the report.
struct report_bound
{
    std::string value; ///< JSON pointer, for example `/truth/double_runs`.
    double atLeast = 0.0;
    double atMost = 0.0;
};

/// \brief Parses bounds from JSON with comments:
/// `{"checks":[{"value":"…","at_least":…,"at_most":…}]}`.
std::vector<report_bound> parseBounds(std::string_view text, error_list &errors);

/// \brief Result of checking one bound.
struct bound_result
{
    bool held = false;
    std::string line; ///< Line to print on a terminal.
};

/// \returns one result per bound. A bound does not hold if its value is absent or not a number.
std::vector<bound_result> checkBounds(const std::vector<report_bound> &bounds,
                                      const report_json &report);

} // namespace tamarackridge::load
