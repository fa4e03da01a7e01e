#pragma once

#include "tamarackridge/src/node/peer_message.h"

#include <optional>

namespace tamarackridge::pb {
class PeerMessage;
}

namespace tamarackridge::internal {

/// \brief Converts \a message to \a out.
void toProtobuf(const peer_message &message, pb::PeerMessage &out);

/// \param in is modified: bodies and strings are moved out of it.
/// \returns the message, or nothing if a value is out of range or no message is set.
std::optional<peer_message> fromProtobuf(pb::PeerMessage &in);

} // namespace tamarackridge::internal
