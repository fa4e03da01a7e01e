#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <string_view>

namespace tamarackridge::internal {

/// \brief Creates the response to a caller whose request did not get a backend server's response.
///
/// 429 and 503 guarantee that the request has not been executed and will not be. If it may have
/// been executed, the status is 502 or 504.
http_response refusal(error_kind kind, run_state state);

/// \returns whether \a connection, the value of a `Connection` header, lists \a header.
bool namesHeader(std::string_view connection, std::string_view header);

} // namespace tamarackridge::internal
