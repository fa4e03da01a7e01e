#pragma once

#include "tamarackridge/src/base/error_kind.h"

#include <tl/expected.hpp>

#include <string_view>

namespace tamarackridge {

/// \brief Extracts the path of a request target and refuses ambiguous spellings.
///
/// Route lookup compares the bytes of the path. A spelling that a backend server may read as
/// another path (`.` and `..` segments, empty segments, `;` parameters, encoded separators, encoded
/// unreserved characters) would let a request pass under the wrong route, so it is refused.
///
/// \param target origin-form target, for example `/invoices/7?month=11`.
/// \returns the path without the query, or error_kind::bad_request.
///
/// \code
/// requestPath("/invoices/7?x=1"); // "/invoices/7"
/// requestPath("/status/../invoices"); // bad_request
/// \endcode
tl::expected<std::string_view, error_kind> requestPath(std::string_view target);

/// \returns true if \a prefix can be compared with the result of requestPath(): `/`, or segments of
/// unreserved characters, without a final slash.
bool isPathPrefix(std::string_view prefix);

} // namespace tamarackridge
