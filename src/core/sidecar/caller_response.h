#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"
#include "tamarackridge/src/base/time.h"

#include <chrono>
#include <string_view>

namespace tamarackridge::internal {

/// Long enough for queues to shorten or for tokens to be minted, and short compared to the
/// deadlines of callers, which wait for at most a third of their remaining time.
constexpr duration queueRetryDelay = std::chrono::milliseconds(400);

/// \brief Creates the response to a caller whose request did not get a backend server's response.
///
/// 429 and 503 guarantee that the request has not been executed and will not be. If it may have
/// been executed, the status is 502 or 504.
/// \param retryDelay value of `Retry-After`, for responses that have this header.
http_response refusal(error_kind kind, run_state state, duration retryDelay = queueRetryDelay);

/// \returns whether \a connection, the value of a `Connection` header, lists \a header.
bool namesHeader(std::string_view connection, std::string_view header);

} // namespace tamarackridge::internal
