#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <string>

namespace tamarackridge {

/// \brief Whether an executor may get new work.
enum class executor_state : std::uint8_t {
    serving,
    not_serving, ///< Starting, leaving or suspect: keeps its statistics, gets no new work.
};

/// \brief A backend server with the node beside it, as the membership describes it.
struct executor_info
{
    std::string node;
    std::string zone;
    std::string service;
    executor_state state = executor_state::serving;
    duration linkDelay{}; ///< Estimated one-way delay from the own node.
};

} // namespace tamarackridge
