#pragma once

#include <string>

namespace tamarackridge {

/// \brief A pair of CURVE keys, encoded in Z85.
struct key_pair
{
    std::string publicKey;
    std::string secretKey;
};

/// \returns a new random key pair; throws std::runtime_error if ZeroMQ lacks CURVE.
key_pair newKeyPair();

/// \returns whether both keys have the 40 characters of a Z85 key and belong to the same pair.
bool isKeyPair(const std::string &publicKey, const std::string &secretKey);

} // namespace tamarackridge
