#pragma once

#include "tamarackridge/src/base/http_message.h"

#include <cstdint>

namespace tamarackridge::internal {

/// \returns a digest of method, target and body, the same for every send of one request.
std::uint64_t requestDigest(const http_request &request);

} // namespace tamarackridge::internal
