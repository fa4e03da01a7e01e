#pragma once

#include "process/metrics.h"

#include "tamarackridge/src/node/node_core.h"

#include <string>

namespace tamarackridge {

/// \returns the status page as JSON.
std::string statusText(const node_status &status);

/// \brief Sets the gauges that stand for \a status.
void putStatusMetrics(const node_status &status, metrics_registry &metrics);

} // namespace tamarackridge
