#pragma once

#include "tamarackridge/src/config/config_delta.h"
#include "tamarackridge/src/config/config_set.h"

#include "json_fields.h"

namespace tamarackridge::internal {

/// \brief Reads and validates a set; the result includes the errors that were found before.
tl::expected<config_set, config_errors> readSet(const json &value, config_errors errors);
/// \brief Reads a delta without validating its result, and appends the errors in its JSON form.
config_delta readDelta(const json &value, config_errors &errors);

json writeSet(const config_set &set);
json writeDelta(const config_delta &delta);

} // namespace tamarackridge::internal
