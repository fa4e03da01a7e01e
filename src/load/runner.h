#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include <chrono>

namespace tamarackridge::load {

/// \brief A finished run.
struct finished_run
{
    std::chrono::steady_clock::time_point start; ///< Time that all records count from.
    run_records records;
};

/// \brief Carries out a plan with its threads; blocks until all requests have ended.
finished_run runPlan(const load_plan &plan);

} // namespace tamarackridge::load
