#pragma once

#include "tamarackridge/src/base/random_source.h"

#include <random>

namespace tamarackridge::load {

/// \brief Reproducible random source of the stand-ins; not for secrets.
class engine_random final : public random_source
{
public:
    explicit engine_random(std::uint64_t seed)
        : m_engine(seed)
    { }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace tamarackridge::load
