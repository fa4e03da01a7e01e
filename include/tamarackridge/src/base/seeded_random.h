#pragma once

#include "tamarackridge/src/base/random_source.h"

#include <random>

namespace tamarackridge {

/// \brief Reproducible random source for tests, scenarios and stand-ins; must not be used for
/// secrets.
///
/// \code
/// seeded_random random(20261204);
/// const double share = random.unit();
/// \endcode
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_engine(seed)
    { }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace tamarackridge
