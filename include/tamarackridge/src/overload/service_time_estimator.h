#pragma once

#include "tamarackridge/src/base/time.h"

namespace tamarackridge {

/// \brief Estimates the duration of a fast run: about the tenth percentile.
///
/// A request with less remaining time than this is almost certain to miss its deadline, rather than
/// merely likely to, and can therefore be dropped. Without new observations the estimate halves
/// every second; otherwise an estimate longer than every deadline would stop all runs and never be
/// corrected.
///
/// \code
/// service_time_estimator recent;
/// recent.observe(latency, now);
/// const bool unreachable = deadline < now + recent.estimate(now);
/// \endcode
class service_time_estimator
{
public:
    void observe(duration latency, time_point now);
    /// \returns the estimate, 0 before the first observation.
    duration estimate(time_point now) const;

private:
    duration m_estimate{};
    time_point m_observedAt;
};

} // namespace tamarackridge
