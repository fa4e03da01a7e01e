#pragma once

#include "load/field_reader.h"
#include "load/report.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::load {

/// \brief A bound on one value of the result.
struct outcome_bound
{
    std::string value; ///< JSON pointer, for example `/truth/double_runs`.
    double atLeast = 0.0;
    double atMost = 0.0;
};

/// \brief Reads bounds, JSON with comments: `{"checks":[{"value":"…","at_least":…,"at_most":…}]}`.
std::vector<outcome_bound> parseBounds(std::string_view text, error_list &errors);

/// \brief One bound and whether it held.
struct bound_verdict
{
    bool held = false;
    std::string line; ///< For a terminal.
};

/// \returns one verdict per bound; a value that is absent or not a number does not hold.
std::vector<bound_verdict> checkBounds(const std::vector<outcome_bound> &bounds,
                                       const result_json &report);

} // namespace tamarackridge::load
