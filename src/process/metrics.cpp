#include "process/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace tamarackridge {

prometheus::Counter &metrics_registry::counter(const std::string &name, const std::string &help,
                                               const prometheus::Labels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Gauge &metrics_registry::gauge(const std::string &name, const std::string &help,
                                           const prometheus::Labels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Histogram &
metrics_registry::histogram(const std::string &name, const std::string &help,
                            const prometheus::Histogram::BucketBoundaries &bounds,
                            const prometheus::Labels &labels)
{
    return prometheus::BuildHistogram()
            .Name(name)
            .Help(help)
            .Register(m_registry)
            .Add(labels, bounds);
}

std::string metrics_registry::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_registry.Collect());
    return std::move(out).str();
}

} // namespace tamarackridge
