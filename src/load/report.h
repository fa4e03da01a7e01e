#pragma once

#include "load/journal_check.h"
#include "load/plan.h"
#include "load/request_record.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace tamarackridge::load {

/// \brief JSON that keeps the order of insertion, so that phases stay in the order of the plan.
using report_json = nlohmann::ordered_json;

/// \brief Computes all statistics of a run.
/// \param journalCheck result of the comparison with the journals, if they were read.
report_json makeReport(const load_plan &plan, const run_records &records,
                       const std::optional<journal_check_result> &journalCheck);

/// \brief Adds a comparison of every customer's latency with that of the customer \a baseline.
///
/// Uses the last phase only, so that earlier phases can warm up connections.
/// \returns false if the report has no such customer.
bool addLatencyComparison(report_json &report, const std::string &baseline);

/// \returns a table of the main statistics, to print on a terminal.
std::string formatTable(const report_json &report);

} // namespace tamarackridge::load
