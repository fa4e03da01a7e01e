#pragma once

#include "tamarackridge/src/base/error_kind.h"

#include <tl/expected.hpp>

#include <string_view>

namespace tamarackridge {

/// \brief Extracts the path of a request target and rejects ambiguous spellings.
///
/// Route lookup compares the bytes of the path. A spelling that a backend server may interpret as
/// another path (`.` and `..` segments, empty segments, `;` parameters, encoded separators, encoded
/// unreserved characters) would match the wrong route, so it is rejected.
///
/// \param target origin-form target, for example `/invoices/7?month=11`.
/// \returns the path without the query, or error_kind::bad_request.
///
/// \code
/// requestPath("/invoices/7?x=1"); // "/invoices/7"
/// requestPath("/status/../invoices"); // bad_request
/// \endcode
tl::expected<std::string_view, error_kind> requestPath(std::string_view target);

/// \returns true if \a prefix can match a result of requestPath(): it must be `/`, or consist of
/// segments of unreserved characters without a trailing slash.
bool isPathPrefix(std::string_view prefix);

} // namespace tamarackridge
