#pragma once

#include "tamarackridge/src/base/random_source.h"

namespace tamarackridge {

/// \brief Cryptographically strong random source of the operating system.
class system_random final : public random_source
{
public:
    std::uint64_t next() override;
};

} // namespace tamarackridge
