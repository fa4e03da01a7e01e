#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace tamarackridge {

/// \brief The metrics of one process, exported in the Prometheus text format.
///
/// Repeated calls with the same name and labels return the same object. All members may be called
/// on any thread.
///
/// \code
/// metrics_registry metrics;
/// metrics.counter("tamarackridge_frames_refused_total", "Refused frames.").Increment();
/// \endcode
class metrics_registry
{
public:
    prometheus::Counter &counter(const std::string &name, const std::string &help,
                                 const prometheus::Labels &labels = {});
    prometheus::Gauge &gauge(const std::string &name, const std::string &help,
                             const prometheus::Labels &labels = {});
    /// \param bounds upper bounds of the buckets, ascending.
    prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                     const prometheus::Histogram::BucketBoundaries &bounds,
                                     const prometheus::Labels &labels = {});

    /// \returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
};

} // namespace tamarackridge
