#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <vector>

namespace tamarackridge::load {

/// \brief Histogram of durations with buckets of constant relative width.
///
/// Each power of two is divided into 256 equal buckets, so that a quantile is overestimated by at
/// most 1/256 of its value.
class latency_histogram
{
public:
    void add(duration latency);

    std::uint64_t count() const { return m_count; }
    duration max() const { return m_max; }

    /// \param share for example 0.99.
    /// \returns the upper bound of the bucket that holds the quantile; zero when empty.
    duration quantile(double share) const;

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    duration m_max{};
};

} // namespace tamarackridge::load
