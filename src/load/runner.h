#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include <chrono>

namespace tamarackridge::load {

/// \brief Start time and records of a finished run.
struct finished_run
{
    std::chrono::steady_clock::time_point start; ///< All times in the records are relative to this.
    run_records records;
};

/// \brief Runs a plan with the number of threads that it sets. Blocks until all requests have
/// finished or the drain timeout has expired.
finished_run runPlan(const load_plan &plan);

} // namespace tamarackridge::load
