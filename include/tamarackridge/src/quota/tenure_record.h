#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief One slot of one availability zone.
struct slot_id
{
    std::string zone;
    std::uint32_t index = 0;

    friend bool operator==(const slot_id &, const slot_id &) = default;
    friend std::strong_ordering operator<=>(const slot_id &, const slot_id &) = default;
};

/// \brief A record of the log stream `quota`: claims, renews or releases a slot.
struct tenure_record
{
    slot_id slot;
    node_ref holder;
    std::string address; ///< Peer endpoint of the holder; may be empty.
    /// Number of the append, chosen by the holder. Identifies the record when it is read back, even
    /// if the response to the append was lost.
    std::uint64_t number = 0;
    /// Offset of the accepted record that this one follows; -1 if the holder knows of none.
    std::int64_t previous = -1;
    std::int64_t readFrom = 0; ///< The holder has read every record from this offset on.
    std::uint32_t slotsInFleet = 1; ///< The holder mints 1/slotsInFleet of each rate.
    /// For a release: period in which tokens granted by the holder may still be spent.
    duration lease{};
    bool release = false;
};

/// \returns \a record as JSON.
std::string encodeTenureRecord(const tenure_record &record);

/// \returns the record, or nothing if \a text is not a valid record. The result depends on \a text
/// only, so that all readers ignore the same records.
std::optional<tenure_record> decodeTenureRecord(std::string_view text);

} // namespace tamarackridge
