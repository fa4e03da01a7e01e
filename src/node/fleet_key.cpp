#include "node/fleet_key.h"

#include <zmq.h>

#include <array>

namespace tamarackridge {
namespace {

constexpr std::size_t encodedKeySize = 40;

} // namespace

bool isKeyPair(const std::string &publicKey, const std::string &secretKey)
{
    if (publicKey.size() != encodedKeySize || secretKey.size() != encodedKeySize)
        return false;
    std::array<char, encodedKeySize + 1> derived{};
    return zmq_curve_public(derived.data(), secretKey.c_str()) == 0 && publicKey == derived.data();
}

} // namespace tamarackridge
