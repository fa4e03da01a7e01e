#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <optional>

namespace tamarackridge::internal {

/// \returns the HTTP response for \a kind that reports \a state as the run state.
http_response errorResponse(error_kind kind, run_state state);
/// \returns the HTTP response for \a kind that reports the default run state of \a kind.
http_response errorResponse(error_kind kind);
/// \returns the response that a caller gets: \a response of the backend server with the run state
/// added or, if \a error is set, the error response with the headers of \a response added.
http_response callerResponse(std::optional<error_kind> error, run_state state,
                             const http_response &response);

} // namespace tamarackridge::internal
