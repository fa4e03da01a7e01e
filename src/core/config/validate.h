#pragma once

#include "tamarackridge/src/config/config_error.h"
#include "tamarackridge/src/config/objects.h"

namespace tamarackridge::internal {

/// \brief Sorts every list by name, the form in which sets are stored and compared.
void normalise(config_objects &objects);

/// \brief Validates normalised objects after earlier faults, for example mistyped fields, were
/// found.
///
/// Leaves out what the earlier faults already cover. \returns all faults, sorted.
config_errors validateAfter(config_errors earlier, const config_objects &objects);

} // namespace tamarackridge::internal
