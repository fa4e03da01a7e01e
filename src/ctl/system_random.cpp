#include "ctl/system_random.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <stdexcept>

namespace tamarackridge {

std::uint64_t system_random::next()
{
    std::uint64_t bits = 0;
    if (gnutls_rnd(GNUTLS_RND_KEY, &bits, sizeof bits) < 0)
        throw std::runtime_error("no random numbers are available");
    return bits;
}

} // namespace tamarackridge
