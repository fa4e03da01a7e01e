#pragma once

#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/config/objects.h"

#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief A new API key: the text for the customer and the entry for the configuration.
struct issued_key
{
    std::string presented; ///< `<id>.<secret>`; shown once, never stored.
    api_key entry;
};

/// \brief Creates an API key with 256 random secret bits.
/// \param random a cryptographically secure source.
issued_key issueKey(std::string_view customer, random_source &random);

/// \returns HMAC-SHA-256 of \a secret under \a salt.
key_hmac hmacOf(const key_salt &salt, std::string_view secret);

/// \returns whether both are equal; the running time does not depend on the position of a
/// difference.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace tamarackridge
