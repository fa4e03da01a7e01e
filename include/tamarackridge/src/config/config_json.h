#pragma once

#include "tamarackridge/src/config/config_delta.h"
#include "tamarackridge/src/config/config_error.h"
#include "tamarackridge/src/config/config_set.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Parses and validates a complete set; the JSON text may contain comments.
///
/// \code
/// parseConfigSet(R"({"customers": {"acme": {"rate": 100, "burst": 200}}})");
/// \endcode
/// \returns the set, or all errors; the result depends only on the text.
tl::expected<config_set, config_errors> parseConfigSet(std::string_view text);

/// \brief Parses a delta: `{"upserts": {…}, "deletes": {"keys": ["id"]}}`.
tl::expected<config_delta, config_errors> parseConfigDelta(std::string_view text);

/// \param indent spaces per level; -1 gives one line.
std::string toJson(const config_set &set, int indent = -1);
std::string toJson(const config_delta &delta, int indent = -1);

} // namespace tamarackridge
