#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/quarantine/fingerprint.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace tamarackridge {

/// \brief What is known about a request, or a variant of it, that crashed backend servers.
///
/// \code
/// overlay_entry entry = encodeCrashRecord({subject, 0, 2, true, std::chrono::minutes(10)});
/// decodeCrashRecord(entry.key, entry.payload)->quarantined; // true
/// \endcode
struct crash_record
{
    fingerprint subject;
    std::uint32_t generation = 0; ///< A later generation replaces an earlier one.
    std::uint32_t crashes = 0; ///< 0 when it was cleared.
    bool quarantined = false;
    duration remaining{}; ///< Until the record expires.
};

/// \returns the overlay entry of kind `quarantine` for \a record.
overlay_entry encodeCrashRecord(const crash_record &record);

/// \brief Decodes the key and payload of an overlay entry of kind `quarantine`.
/// \returns nothing if either is malformed.
std::optional<crash_record> decodeCrashRecord(std::string_view key, std::string_view payload);

} // namespace tamarackridge
