#pragma once

#include "tamarackridge/src/base/http_message.h"

#include <string_view>
#include <vector>

namespace tamarackridge {

/// \returns whether a header applies to a single connection and is therefore never forwarded, such
/// as `Connection`, `Transfer-Encoding` or `Content-Length`.
bool isHopHeader(std::string_view name);

/// \brief Removes the hop-by-hop headers and the headers listed in `Connection`.
void removeHopHeaders(std::vector<http_header> &headers);

/// \returns whether \a text is an RFC 9110 token, as required for header names and methods.
bool isToken(std::string_view text);

/// \returns whether \a value is free of control characters, which could end a header line.
bool isFieldValue(std::string_view value);

/// \returns whether the request line and the headers can be sent unchanged. Prevents a value that
/// came from another node from injecting a header or a second request.
bool isWellFormed(const http_request &request);

} // namespace tamarackridge
