#pragma once

#include <cstdint>

namespace tamarackridge {

/// \brief How one run on a backend server, or one dispatch to a peer node, ended.
enum class run_outcome : std::uint8_t {
    success, ///< A whole answer arrived, whatever its HTTP status, except for `overloaded`.
    overloaded, ///< Refused for load, by the backend server (503, 429) or by its node.
    timeout, ///< No whole answer arrived in time.
    failed, ///< The connection broke, or the answer was incomplete.
    cancelled, ///< The caller no longer needs the answer; says nothing about the server.
};

} // namespace tamarackridge
