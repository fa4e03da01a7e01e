#pragma once

#include <cstdint>

namespace tamarackridge {

/// \brief Interface of the random number generators that the embedding program supplies.
///
/// Daemons use a cryptographically secure generator, tests a seeded one.
class random_source
{
public:
    random_source() = default;
    random_source(const random_source &) = delete;
    random_source &operator=(const random_source &) = delete;
    virtual ~random_source() = default;

    /// \returns 64 uniformly distributed random bits.
    virtual std::uint64_t next() = 0;

    /// \param bound exclusive upper bound, at least 1.
    /// \returns a random number in [0, bound).
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// \returns a uniformly distributed random number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

} // namespace tamarackridge
