#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <string_view>

namespace tamarackridge::internal {

/// \brief The answer to a caller whose request did not end with a backend server's answer.
///
/// 429 and 503 promise that the request has not run and will not run; anything that may have run
/// is answered with 502 or 504.
http_response refusal(error_kind kind, run_state state);

/// \returns whether the value of a `Connection` header names \a header.
bool namesHeader(std::string_view connection, std::string_view header);

} // namespace tamarackridge::internal
