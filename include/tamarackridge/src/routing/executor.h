#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <string>

namespace tamarackridge {

/// \brief Whether an executor may receive new requests.
enum class executor_state : std::uint8_t {
    serving,
    not_serving, ///< Starting, leaving or suspect: keeps its statistics, receives no new requests.
};

/// \brief A backend server and its node, as described by the membership.
struct executor_info
{
    std::string node;
    std::string zone;
    std::string service;
    executor_state state = executor_state::serving;
    duration linkDelay{}; ///< Estimated one-way delay from this node.
};

} // namespace tamarackridge
