#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <optional>

namespace tamarackridge::internal {

/// \returns the HTTP answer of \a kind that states \a state for the request.
http_response errorResponse(error_kind kind, run_state state);
/// \returns the HTTP answer of \a kind with the run state of the table.
http_response errorResponse(error_kind kind);
/// \returns what a caller gets: the backend server's \a answer with the run state added, or the
/// answer of \a error with the headers of \a answer added.
http_response callerResponse(std::optional<error_kind> error, run_state state,
                             const http_response &response);

} // namespace tamarackridge::internal
