#pragma once

#include <string>

namespace tamarackridge {

/// \returns whether both keys are Z85 of 40 characters and belong together.
bool isKeyPair(const std::string &publicKey, const std::string &secretKey);

} // namespace tamarackridge
