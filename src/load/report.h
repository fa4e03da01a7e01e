#pragma once

#include "load/plan.h"
#include "load/request_record.h"
#include "load/truth_check.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace tamarackridge::load {

/// \brief Order of fields as written, so that phases stay in the order of the plan.
using result_json = nlohmann::ordered_json;

/// \brief Computes all measures of a run.
/// \param truth comparison with the journals, when there were any.
result_json makeReport(const load_plan &plan, const run_records &records,
                       const std::optional<truth_report> &truth);

/// \brief Adds the latency of every customer in the last phase, compared with the customer
/// \a baseline; earlier phases may warm up connections.
/// \returns false when the report has no such customer.
bool addLatencyComparison(result_json &report, const std::string &baseline);

/// \returns a table of the most important measures, for a terminal.
std::string formatTable(const result_json &report);

} // namespace tamarackridge::load
