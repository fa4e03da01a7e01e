#pragma once

#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <vector>

namespace tamarackridge {

/// \brief Part of a stream.
struct stream_page
{
    std::int64_t first = 0; ///< Oldest retained offset, or \a next if there is none.
    std::int64_t next = 0; ///< Offset that the log assigns next; a full page may end before it.
    std::vector<log_record> records;
};

} // namespace tamarackridge
