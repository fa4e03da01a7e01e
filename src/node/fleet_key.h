#pragma once

#include <string>

namespace tamarackridge {

/// \brief CURVE keys in Z85.
struct key_pair
{
    std::string publicKey;
    std::string secretKey;
};

/// \returns a new random key pair; throws std::runtime_error if ZeroMQ lacks CURVE.
key_pair newKeyPair();

/// \returns whether both keys are Z85 of 40 characters and belong together.
bool isKeyPair(const std::string &publicKey, const std::string &secretKey);

} // namespace tamarackridge
