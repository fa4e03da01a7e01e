#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackridge {

// A frame begins with its length, the milliseconds for which it was held, and its number.
inline constexpr std::size_t frameHeaderSize = 4 + 4 + 8;
// A connection begins with the sender's incarnation; the receiver answers with its own and with the
// last number that it received from this sender.
inline constexpr std::size_t helloSize = 8;
inline constexpr std::size_t greetingSize = 16;
inline constexpr std::size_t acknowledgementSize = 8;

/// \brief Appends an integer, lowest byte first.
template <typename Integer>
void put(Integer value, std::string &out)
{
    for (std::size_t byte = 0; byte < sizeof value; ++byte)
        out.push_back(static_cast<char>(value >> (8 * byte) & 0xffU));
}

/// \returns the integer that \a bytes begin with.
template <typename Integer>
Integer get(std::string_view bytes)
{
    Integer value = 0;
    for (std::size_t byte = 0; byte < sizeof value; ++byte)
        value |= static_cast<Integer>(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
    return value;
}

} // namespace tamarackridge
