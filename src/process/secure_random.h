#pragma once

#include "tamarackridge/src/base/random_source.h"

#include <array>
#include <cstddef>

namespace tamarackridge {

/// \brief Cryptographically strong random numbers from GnuTLS, fetched in blocks.
///
/// Not thread-safe: use one object per thread, or guard it by a mutex.
class secure_random final : public random_source
{
public:
    std::uint64_t next() override;

private:
    std::array<std::uint64_t, 64> m_block{};
    std::size_t m_used = m_block.size();
};

} // namespace tamarackridge
