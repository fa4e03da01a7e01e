#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <string_view>

namespace tamarackridge {

/// \returns the response that the error table defines for \a kind: status, headers for the error
/// and the run state, and a JSON body.
http_response errorReply(error_kind kind);

/// \returns a response with a JSON body.
http_response jsonReply(int status, std::string_view json);

} // namespace tamarackridge
