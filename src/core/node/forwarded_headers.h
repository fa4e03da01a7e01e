#pragma once

#include "tamarackridge/src/base/http_message.h"

#include <string_view>
#include <vector>

namespace tamarackridge::internal {

/// \brief Names of the headers that nodes, callers and backend servers exchange.
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

/// \returns the headers of a caller's request that may reach a backend server.
///
/// Keys and every header that only nodes may set are left out. Hop-by-hop headers belong to a
/// connection, so the shell removes them.
std::vector<http_header> requestHeaders(const std::vector<http_header> &received);

/// \returns the headers of a backend server's answer that may reach a caller.
std::vector<http_header> responseHeaders(const std::vector<http_header> &received);

} // namespace tamarackridge::internal
