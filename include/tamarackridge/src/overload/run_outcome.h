#pragma once

#include <cstdint>

namespace tamarackridge {

/// \brief How one run on a backend server, or one dispatch to a peer node, ended.
enum class run_outcome : std::uint8_t {
    success, ///< A complete response arrived, with any HTTP status that does not mean `overloaded`.
    overloaded, ///< Refused because of load, by the backend server (503, 429) or by its node.
    timeout, ///< No complete response arrived in time.
    failed, ///< The connection broke, or the response was incomplete.
    cancelled, ///< The caller no longer needs the response; no evidence about the server.
};

} // namespace tamarackridge
