#pragma once

#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"

namespace tamarackridge::backend {

/// \brief Log-normal distribution of service times, slower during a cold start.
struct service_time
{
    double medianMs = 5.0;
    double sigma = 0.3; ///< Standard deviation of the logarithm.
    double coldSeconds = 0.0; ///< Length of the cold start.
    double coldFactor = 1.0; ///< Slow-down at the start; decreases linearly to 1.

    /// \param sinceStart time since the backend server started.
    /// \returns a random service time.
    duration sample(random_source &random, duration sinceStart) const;

    /// \returns the slow-down factor \a sinceStart after the start, at least 1.
    double coldSlowdown(duration sinceStart) const;
};

} // namespace tamarackridge::backend
