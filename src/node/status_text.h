#pragma once

#include "process/metrics.h"

#include "tamarackridge/src/node/node_core.h"

#include <string>

namespace tamarackridge {

/// \returns the response body of the status endpoint, as JSON.
std::string statusText(const node_status &status);

/// \brief Sets the gauges that represent \a status.
void updateStatusGauges(const node_status &status, metrics_registry &metrics);

} // namespace tamarackridge
