#pragma once

#include "load/report.h"

#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief A result and the name that the plot shows for it.
struct named_result
{
    std::string name;
    result_json report;
};

/// \returns an SVG of goodput over time, with one line per result; surges of the first result are
/// shaded and its offered load is dashed.
std::string plotGoodput(const std::vector<named_result> &results);

} // namespace tamarackridge::load
