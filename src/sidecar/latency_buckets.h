#pragma once

#include "tamarackridge/src/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Latency histogram in the Prometheus text format.
class latency_buckets
{
public:
    void observe(duration latency);
    /// \brief Appends the histogram under the metric name \a name.
    void appendText(std::string_view name, std::string &out) const;

private:
    static constexpr std::array<double, 14> bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                   0.1,    0.2,   0.5,   1,     2,    5,    10};
    std::array<std::uint64_t, bounds.size() + 1> m_counts{};
    double m_sum = 0;
};

/// \brief Appends one sample in the Prometheus text format.
void appendSample(std::string_view name, std::string_view labels, double value, std::string &out);

} // namespace tamarackridge
