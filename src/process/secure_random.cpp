#include "process/secure_random.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <stdexcept>
#include <utility>

namespace tamarackridge {

std::uint64_t secure_random::next()
{
    if (m_used == m_block.size()) {
        if (gnutls_rnd(GNUTLS_RND_KEY, m_block.data(), sizeof m_block) != 0)
            throw std::runtime_error("gnutls_rnd() returned no random bytes");
        m_used = 0;
    }
    // Erases each returned number, so that it can't be found in memory later.
    return std::exchange(m_block[m_used++], 0);
}

} // namespace tamarackridge
