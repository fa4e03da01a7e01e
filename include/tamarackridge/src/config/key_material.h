#pragma once

#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/config/objects.h"

#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief A new key: the text for the customer and the entry for the configuration.
struct issued_key
{
    std::string presented; ///< `<id>.<secret>`; shown once, never stored.
    api_key entry;
};

/// \brief Draws a key of 256 secret bits.
/// \param random a cryptographically strong source.
issued_key issueKey(std::string_view customer, random_source &random);

/// \returns HMAC-SHA-256 of \a secret under \a salt.
key_hmac hmacOf(const key_salt &salt, std::string_view secret);

/// \returns whether both are equal, in time that does not depend on where they differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace tamarackridge
