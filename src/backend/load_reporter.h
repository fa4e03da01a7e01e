#pragma once

#include "backend/connection.h"
#include "backend/slot_limiter.h"

#include <deque>
#include <mutex>

namespace tamarackridge::backend {

/// \brief Computes the load that `/load` reports: the load of some time ago, multiplied by a
/// factor.
///
/// The lag and the factor simulate outdated and wrong load reports.
class load_reporter
{
public:
    /// \param lag age of the reported load.
    /// \param factor ratio of the reported to the actual load; 1 reports the actual load.
    load_reporter(std::chrono::milliseconds lag, double factor);

    /// \brief Records the load at \a now. Must be called whenever the load changes.
    void record(const request_counts &load, steady_time_point now);
    /// \returns the load to report at \a now; zero until the first record is \a lag old.
    request_counts reported(steady_time_point now);

    void setFactor(double factor);

private:
    struct load_sample
    {
        steady_time_point at;
        request_counts load;
    };
    /// \brief Drops the samples older than the newest one that is at least m_lag old.
    void dropOutdated(steady_time_point now);

    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    double m_factor;
    std::deque<load_sample> m_samples; ///< The first is the newest that is at least m_lag old.
};

} // namespace tamarackridge::backend
