#include "load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace tamarackridge::load {
namespace {

constexpr unsigned bucketBits = 8;
constexpr std::uint64_t bucketsPerPower = 1ULL << bucketBits;

/// Each value below 2 * bucketsPerPower has its own bucket; above, the bucket width doubles with
/// every power of two.
std::size_t bucketOf(std::uint64_t nanoseconds)
{
    const unsigned width = static_cast<unsigned>(std::bit_width(nanoseconds));
    if (width <= bucketBits + 1)
        return nanoseconds;
    const unsigned shift = width - bucketBits - 1;
    return shift * bucketsPerPower + (nanoseconds >> shift);
}

std::uint64_t upperBoundOf(std::size_t bucket)
{
    if (bucket < 2 * bucketsPerPower)
        return bucket;
    const std::size_t shift = bucket / bucketsPerPower - 1;
    const std::uint64_t mantissa = bucket - shift * bucketsPerPower;
    return ((mantissa + 1) << shift) - 1;
}

} // namespace

void latency_histogram::add(duration latency)
{
    const std::uint64_t nanoseconds =
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, latency.count()));
    const std::size_t bucket = bucketOf(nanoseconds);
    if (bucket >= m_buckets.size())
        m_buckets.resize(bucket + 1);
    ++m_buckets[bucket];
    ++m_count;
    m_max = std::max(m_max, latency);
}

duration latency_histogram::quantile(double share) const
{
    const std::uint64_t rank = std::max<std::uint64_t>(
            1, static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(m_count))));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        seen += m_buckets[bucket];
        if (seen >= rank)
            return std::min(duration(upperBoundOf(bucket)), m_max);
    }
    return {};
}

} // namespace tamarackridge::load
