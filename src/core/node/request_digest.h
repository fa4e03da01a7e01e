#pragma once

#include "tamarackridge/src/base/http_message.h"

#include <cstdint>

namespace tamarackridge::internal {

/// \returns a digest of the method, target and body, which is the same for a request and its
/// resends.
std::uint64_t requestDigest(const http_request &request);

} // namespace tamarackridge::internal
