#pragma once

#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/node/peer_message.h"

#include <string>
#include <string_view>

namespace tamarackridge::internal {

/// \returns the context of a `traceparent` header, or a new sampled trace if the header is invalid.
trace_context parseTraceparent(std::string_view header, random_source &random);
/// \returns the value of the `traceparent` header for \a trace.
std::string formatTraceparent(const trace_context &trace);
/// \returns a random span id.
std::array<std::uint8_t, 8> newSpanId(random_source &random);

} // namespace tamarackridge::internal
