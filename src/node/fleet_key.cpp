#include "node/fleet_key.h"

#include <zmq.h>

#include <array>
#include <stdexcept>

namespace tamarackridge {
namespace {

constexpr std::size_t encodedKeySize = 40;

} // namespace

key_pair newKeyPair()
{
    std::array<char, encodedKeySize + 1> publicKey{};
    std::array<char, encodedKeySize + 1> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        throw std::runtime_error("ZeroMQ was built without CURVE");
    return {publicKey.data(), secretKey.data()};
}

bool isKeyPair(const std::string &publicKey, const std::string &secretKey)
{
    if (publicKey.size() != encodedKeySize || secretKey.size() != encodedKeySize)
        return false;
    std::array<char, encodedKeySize + 1> derived{};
    return zmq_curve_public(derived.data(), secretKey.c_str()) == 0 && publicKey == derived.data();
}

} // namespace tamarackridge
