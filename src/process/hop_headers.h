#pragma once

#include "tamarackridge/src/base/http_message.h"

#include <string_view>
#include <vector>

namespace tamarackridge {

/// \returns whether a header is about one connection and so is never forwarded: `Connection`,
/// `Transfer-Encoding`, `Content-Length` and the like.
bool isHopHeader(std::string_view name);

/// \brief Removes the hop-by-hop headers and those that `Connection` lists.
void removeHopHeaders(std::vector<http_header> &headers);

/// \returns whether \a text is an RFC 9110 token, as header names and methods must be.
bool isToken(std::string_view text);

/// \returns whether \a value has no control characters that could end a header line.
bool isFieldValue(std::string_view value);

/// \returns whether the request line and the headers can be sent as they are, so that no value of
/// another node can add a header or a second request.
bool isWellFormed(const http_request &request);

} // namespace tamarackridge
