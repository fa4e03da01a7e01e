#pragma once

#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <vector>

namespace tamarackridge {

/// \brief A page of consecutive records of a stream.
struct stream_page
{
    std::int64_t first = 0; ///< Oldest retained offset, or `next` if no record is retained.
    std::int64_t next = 0; ///< Offset of the next append; a full page may end before it.
    std::vector<log_record> records;
};

} // namespace tamarackridge
