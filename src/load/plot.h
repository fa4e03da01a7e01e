#pragma once

#include "load/report.h"

#include <string>
#include <vector>

namespace tamarackridge::load {

/// \brief Report with its label in the plot.
struct named_report
{
    std::string name;
    report_json report;
};

/// \returns an SVG of goodput over time, with one line per report. The surges of the first report
/// are shaded, and a dashed line shows its offered load.
std::string plotGoodput(const std::vector<named_report> &results);

} // namespace tamarackridge::load
