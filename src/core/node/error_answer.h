#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

namespace tamarackridge::internal {

/// \returns the HTTP answer of \a kind that states \a state for the request.
http_answer errorAnswer(error_kind kind, run_state state);
/// \returns the HTTP answer of \a kind with the run state of the table.
http_answer errorAnswer(error_kind kind);
/// \returns \a answer with the `Tamarackridge-Run-State` header set to \a state.
http_answer withRunState(http_answer answer, run_state state);

} // namespace tamarackridge::internal
