#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/node/action.h"

#include <span>
#include <string>
#include <vector>

namespace tamarackridge {

/// \returns a span as one JSON line.
/// \param unixMicroseconds wall clock time of the span's start.
std::string spanLine(const emit_span &item, const node_ref &node, std::int64_t unixMicroseconds);

/// \brief Orders the spans of one trace: each parent before its children, siblings by their start.
///
/// The start times come from the clocks of several VMs, so they only order siblings.
/// \param lines lines of trace files; those that are no spans of the trace are ignored.
/// \returns one line of text for each span, indented by its depth.
std::vector<std::string> printTrace(const std::string &traceId, std::span<const std::string> lines);

} // namespace tamarackridge
