#pragma once

#include "scenario/script.h"
#include "tamarackridge/src/base/time.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace tamarackridge::scenario {

/// \brief One request of a trace that a node recorded with `logging.request_file`.
struct recorded_request
{
    duration arrival{}; ///< Since the first request of the trace.
    std::string method;
    std::string path;
    std::size_t bodyBytes = 0;
};

/// \brief Reads a recorded trace, one JSON object a line.
///
/// Uses the fields `time` (UTC, when the response was sent), `duration_us`, `method`, `path` and
/// `body_bytes`. The other fields describe the outcome of the request in the recording.
/// \returns the requests in order of arrival, or an error at the first line that is not a recorded
/// request. Omits requests for the node itself (paths below `/.tamarackridge/`).
tl::expected<std::vector<recorded_request>, script_error> readTrace(std::istream &in);

} // namespace tamarackridge::scenario
