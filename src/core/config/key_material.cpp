#include "tamarackridge/src/config/key_material.h"

#include "json_fields.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <span>

namespace tamarackridge {
namespace {

template <std::size_t Size>
std::array<std::uint8_t, Size> randomBytes(random_source &random)
{
    std::array<std::uint8_t, Size> bytes{};
    std::uint64_t bits = 0;
    for (std::size_t index = 0; index < Size; ++index) {
        if (index % sizeof bits == 0)
            bits = random.next();
        bytes[index] = static_cast<std::uint8_t>(bits);
        bits >>= 8U;
    }
    return bytes;
}

} // namespace

issued_key issueKey(std::string_view customer, random_source &random)
{
    issued_key issued;
    issued.entry.name = "k" + internal::toHex(randomBytes<8>(random));
    issued.entry.customer = customer;
    issued.entry.salt = randomBytes<16>(random);
    const std::string secret = internal::toHex(randomBytes<32>(random));
    issued.entry.hmac = hmacOf(issued.entry.salt, secret);
    issued.presented = issued.entry.name + "." + secret;
    return issued;
}

key_hmac hmacOf(const key_salt &salt, std::string_view secret)
{
    key_hmac result{};
    gnutls_hmac_fast(GNUTLS_MAC_SHA256, salt.data(), salt.size(), secret.data(), secret.size(),
                     result.data());
    return result;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace tamarackridge
