#pragma once

#include "tamarackridge/src/base/http_message.h"

#include <string_view>
#include <vector>

namespace tamarackridge::internal {

/// \brief Names of the headers between callers, nodes and backend servers.
namespace header {
inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view requestId = "Tamarackridge-Request-Id";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view handle = "Tamarackridge-Handle";
inline constexpr std::string_view deadline = "Tamarackridge-Deadline-Ms";
inline constexpr std::string_view customer = "Tamarackridge-Customer";
inline constexpr std::string_view traceparent = "traceparent";
inline constexpr std::string_view error = "Tamarackridge-Error";
} // namespace header

/// \returns the headers of a caller's request that are forwarded to a backend server.
///
/// Excludes API keys and all headers that only nodes may set. The embedding program removes the
/// hop-by-hop headers, which belong to a connection.
std::vector<http_header> forwardedRequestHeaders(const std::vector<http_header> &received);

/// \returns the headers of a backend server's response that are forwarded to a caller.
std::vector<http_header> forwardedResponseHeaders(const std::vector<http_header> &received);

} // namespace tamarackridge::internal
