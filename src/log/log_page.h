#pragma once

#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <vector>

namespace tamarackridge {

/// \brief Part of a stream.
struct log_page
{
    std::int64_t first = 0; ///< Oldest retained offset, or end if there is none.
    std::int64_t next = 0; ///< Offset to read on from.
    std::int64_t end = 0; ///< Offset after the newest record.
    std::vector<log_record> records;
};

} // namespace tamarackridge
