#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackridge {

// Frame header: the payload's length, the milliseconds that the frame was queued, and its number.
inline constexpr std::size_t frameHeaderSize = 4 + 4 + 8;
// The sender opens a connection with its incarnation (hello). The receiver replies with its own
// incarnation and the last frame number that it received from this sender (greeting).
inline constexpr std::size_t helloSize = 8;
inline constexpr std::size_t greetingSize = 16;
inline constexpr std::size_t acknowledgementSize = 8;

/// \brief Appends an integer in little-endian order.
template <typename Integer>
void appendInteger(Integer value, std::string &out)
{
    for (std::size_t byte = 0; byte < sizeof value; ++byte)
        out.push_back(static_cast<char>(value >> (8 * byte) & 0xffU));
}

/// \returns the little-endian integer at the start of \a bytes.
template <typename Integer>
Integer readInteger(std::string_view bytes)
{
    Integer value = 0;
    for (std::size_t byte = 0; byte < sizeof value; ++byte)
        value |= static_cast<Integer>(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
    return value;
}

} // namespace tamarackridge
