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

/// \brief Version of the protocol between nodes; frames of any other version are refused.
constexpr std::uint32_t protocolVersion = 1;

/// \brief Envelope fields that accompany every message.
struct frame_header
{
    node_ref sender;
    incarnation_id receiver = 0; ///< 0 while the receiver's incarnation is not known.
    std::uint64_t sequence = 0; ///< Never repeated by one sender incarnation.
};

/// \brief A frame whose version, checksum and payload were found correct.
struct decoded_frame
{
    frame_header header;
    peer_message message;
};

/// \returns the bytes of one frame.
///
/// \code
/// const std::string bytes = encodePeerMessage({self, receiver, ++sequence}, heartbeat{});
/// \endcode
/// \sa decodePeerMessage
std::string encodePeerMessage(const frame_header &header, const peer_message &message);

/// \param bytes one whole frame.
/// \returns the frame, `protocol_mismatch` for another version, or `frame_invalid` when the frame
/// is malformed, truncated, corrupted or holds a value outside its range.
tl::expected<decoded_frame, error_kind> decodePeerMessage(std::span<const std::byte> bytes);

} // namespace tamarackridge
