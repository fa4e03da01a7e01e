#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <string_view>

namespace tamarackridge {

/// \returns the answer of the error table for \a kind: status, run state and a JSON body.
http_response errorReply(error_kind kind);

/// \returns an answer with a JSON body.
http_response jsonReply(int status, std::string_view json);

} // namespace tamarackridge
