#pragma once

#include "tamarackridge/src/base/time.h"

namespace tamarackridge {

/// \brief Estimate of the time that a quick run takes: about the tenth percentile.
///
/// A request with less time left than this is hopeless rather than merely unlikely to finish,
/// which is what makes it right to drop it. Without new observations the estimate halves every
/// second; otherwise an estimate longer than every deadline would stop all runs and never change.
///
/// \code
/// service_time recent;
/// recent.observe(latency, now);
/// const bool hopeless = deadline < now + recent.estimate(now);
/// \endcode
class service_time
{
public:
    void observe(duration latency, time_point now);
    /// \returns the estimate, 0 before the first observation.
    duration estimate(time_point now) const;

private:
    duration m_quick{};
    time_point m_observedAt;
};

} // namespace tamarackridge
