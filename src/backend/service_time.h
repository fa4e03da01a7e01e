#pragma once

#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"

namespace tamarackridge::backend {

/// \brief Log-normal service times with a slower cold start.
struct service_time
{
    double medianMs = 5.0;
    double sigma = 0.3; ///< Standard deviation of the logarithm.
    double coldSeconds = 0.0; ///< Length of the cold start.
    double coldFactor = 1.0; ///< Slow-down at the start; falls linearly to 1.

    /// \param sinceStart age of the backend server.
    /// \returns one service time.
    duration sample(random_source &random, duration sinceStart) const;

    /// \returns the slow-down at age \a sinceStart, at least 1.
    double coldSlowdown(duration sinceStart) const;
};

} // namespace tamarackridge::backend
