#pragma once

#include "tamarackridge/src/config/config_error.h"
#include "tamarackridge/src/config/objects.h"

namespace tamarackridge::internal {

/// \brief Sorts every list by name, the normal form in which sets are stored and compared.
void normalise(config_objects &objects);

/// \brief Validates normalised objects after earlier errors, for example fields of the wrong type,
/// were found.
///
/// Errors in fields or objects for which an earlier error was reported are left out.
/// \returns all errors, sorted.
config_errors validateAfter(config_errors earlier, const config_objects &objects);

} // namespace tamarackridge::internal
