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

/// \brief A record of the log stream `quota`: a claim, a renewal or a release of a slot.
struct tenure_record
{
    slot_id slot;
    node_ref holder;
    std::string address; ///< Peer endpoint of the holder; may be empty.
    std::uint64_t number = 0; ///< Of the append, chosen by the holder; finds a lost answer.
    std::int64_t previous = -1; ///< Epoch that this record follows; -1 when none is known.
    std::int64_t readFrom = 0; ///< The holder has read every record since this offset.
    std::uint32_t slotsInFleet = 1; ///< The holder mints one part in this many.
    duration lease{}; ///< For a release: how long tokens that it granted may still be spent.
    bool release = false;
};

/// \returns the text of \a record (JSON).
std::string encodeTenureRecord(const tenure_record &record);

/// \returns the record, or nothing when \a text is not one. The result depends on \a text only, so
/// that all readers ignore the same records.
std::optional<tenure_record> decodeTenureRecord(std::string_view text);

} // namespace tamarackridge
