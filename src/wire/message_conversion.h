#pragma once

#include "tamarackridge/src/node/peer_message.h"

#include <optional>

namespace tamarackridge::pb {
class PeerMessage;
}

namespace tamarackridge::internal {

/// \brief Fills \a out from \a message.
void toProtobuf(const peer_message &message, pb::PeerMessage &out);

/// \param in is consumed: bodies and lists are moved out of it.
/// \returns nothing when a value is outside its range or no message is set.
std::optional<peer_message> fromProtobuf(pb::PeerMessage &in);

} // namespace tamarackridge::internal
