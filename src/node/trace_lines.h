#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/node/action.h"

#include <span>
#include <string>
#include <vector>

namespace tamarackridge {

/// \returns a span as one line of JSON, without the line end.
/// \param unixMicroseconds wall clock time at the span's start.
std::string spanLine(const emit_span &item, const node_ref &node, std::int64_t unixMicroseconds);

/// \brief Prints the spans of one trace as a tree: each parent before its children, siblings by
/// start time.
///
/// Start times are used only to order siblings, because the clocks of several VMs may differ.
/// \param lines lines of trace files; lines that are not spans of this trace are ignored.
/// \returns one line of text for each span, indented by its depth.
std::vector<std::string> printTrace(const std::string &traceId, std::span<const std::string> lines);

} // namespace tamarackridge
