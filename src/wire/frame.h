#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/node/peer_message.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace tamarackridge {

/// \brief Version of the protocol between nodes; frames of any other version are rejected.
constexpr std::uint32_t protocolVersion = 1;

/// \brief Envelope fields sent with every message.
struct frame_header
{
    node_ref sender;
    incarnation_id receiver = 0; ///< 0 while the receiver's incarnation is unknown.
    std::uint64_t sequence = 0; ///< Unique within one sender incarnation.
};

/// \brief A frame whose version, checksum and payload have been validated.
struct decoded_frame
{
    frame_header header;
    peer_message message;
};

/// \returns the encoded bytes of one frame.
///
/// \code
/// const std::string bytes = encodePeerMessage({self, receiver, ++sequence}, heartbeat{});
/// \endcode
/// \sa decodePeerMessage
std::string encodePeerMessage(const frame_header &header, const peer_message &message);

/// \param bytes one complete frame.
/// \returns the frame, `protocol_mismatch` for another version, or `frame_invalid` when the frame
/// is malformed, truncated, corrupted or contains a value out of range.
tl::expected<decoded_frame, error_kind> decodePeerMessage(std::span<const std::byte> bytes);

} // namespace tamarackridge
