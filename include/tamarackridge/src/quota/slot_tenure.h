#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/quota/customer_rate.h"
#include "tamarackridge/src/quota/tenure_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Durations of slot tenure.
struct tenure_options
{
    duration lease = std::chrono::hours(12);
    /// Nodes that find a free slot claim it after a random part of this delay, so that one claim
    /// is usually read before the others are sent. One second per node and slot is enough when
    /// records are read within 100 ms.
    duration claimDelay = std::chrono::seconds(2);
    /// An append is repeated after this time, doubled with each failure up to the maximum.
    duration retryAfter = std::chrono::seconds(10);
    duration retryMax = std::chrono::minutes(5);
    /// How long tokens may still be spent after a share became smaller; longer than a grant lease.
    duration settleTime = std::chrono::seconds(3);
    /// Counts the log's own age of a record as time that others have waited already. This needs a
    /// log whose clock is never set and deviates by at most 0.5%.
    bool trustLogAge = false;
    /// Peer endpoint of this node; empty: unknown. A claim by an earlier incarnation with the same
    /// name and address need not run out: the address belongs to one VM at a time and the node
    /// listens on it, so that incarnation has ended, or no caller can reach it any more.
    std::string address;

    /// \returns options that keep the number of lost races low in a fleet of this size.
    static tenure_options forFleet(std::size_t nodes, std::size_t slots);
};

/// \brief A text to append to the stream `quota`.
struct tenure_append
{
    std::uint64_t number = 0; ///< Unique in this life of the node.
    std::string text;
};

/// \brief A slot that the node holds.
struct held_slot
{
    slot_id slot;
    std::uint32_t slotsInFleet = 1; ///< The holder mints one part in this many.
    time_point until;
};

/// \brief The tenure of a slot as the log shows it.
struct slot_state
{
    slot_id slot;
    node_ref holder;
};

/// \brief Claims, renews and releases slots through the log stream `quota`.
///
/// \code
/// slot_tenure tenure(self, {}, random);
/// tenure.setZones(zones, now);
/// tenure.onReadStarted(first);   // then onRecord() for each record
/// tenure.onCaughtUp(now);
/// for (tenure_append &append : tenure.tick(now)) { … }
/// holder.setSlots(tenure.held(now), now);
/// \endcode
class slot_tenure
{
public:
    slot_tenure(node_ref self, tenure_options options, random_source &random);

    /// \brief Installs the zones of the configuration in force.
    void setZones(std::span<const quota_zone> zones, time_point now);

    /// \brief A record of the stream, in order of offset; a repeated offset is ignored.
    void onRecord(std::int64_t offset, duration age, std::string_view text, time_point now);
    /// \brief Reading has begun: \a first is the log's oldest offset. Called before the first
    /// onRecord(); later calls have no effect.
    void onReadStarted(std::int64_t first);
    /// \brief All records of the log were passed in. Nothing is claimed before the first call.
    void onCaughtUp(time_point now);
    /// \brief An append was answered; \a accepted is false when its effect is not known. A slot is
    /// held only once the record was read back, so only the pace of repeated appends depends on it.
    void onAppendDone(bool accepted);

    /// \returns appends that are due.
    std::vector<tenure_append> tick(time_point now);
    /// \brief Gives all slots up; may be repeated until the records were read back. Tokens granted
    /// earlier may be spent for \a settle more.
    /// \returns the appends that say so.
    std::vector<tenure_append> release(duration settle, time_point now);

    /// \returns whether this node may mint for \a slot.
    bool holds(const slot_id &slot, time_point now) const;
    /// \returns the end of this node's lease; time_point::min() when it never held the slot.
    time_point heldUntil(const slot_id &slot) const;
    /// \returns the slots that this node holds.
    std::vector<held_slot> held(time_point now) const;
    /// \returns the last holders of the configured slots that were not released, for the choice of
    /// whom to ask for tokens.
    std::vector<slot_state> slots() const;

    /// \returns the number of records that could not be decoded.
    std::uint64_t undecodable() const { return m_undecodable; }
    /// \returns the number of records that did not count.
    std::uint64_t outdated() const { return m_outdated; }

private:
    struct tenure
    {
        node_ref holder;
        std::int64_t epoch = -1; ///< Offset of the last counted record.
        std::int64_t adoptAbove = -1; ///< A record from before reading began may replace this one
                                      ///< when it follows a later epoch.
        std::uint32_t slotsInFleet = 1;
        bool live = false; ///< Claimed, and not released since.
        time_point freeAt = time_point::min(); ///< When others may claim, on this node's clock.
        time_point heldUntil = time_point::min(); ///< End of the own lease.
        time_point appendAt = time_point::max(); ///< Next claim or renewal by this node.
    };
    struct sent_append
    {
        slot_id slot;
        std::uint64_t number = 0;
        time_point sentAt;
    };

    bool isEarlierIncarnation(const tenure_record &record) const;
    bool counts(const tenure_record &record, const tenure &state) const;
    bool adopted(const tenure_record &record, const tenure &state) const;
    void apply(std::int64_t offset, duration age, const tenure_record &record, time_point now);
    /// \returns when this node sent \a record; nothing when it is not of this life.
    std::optional<time_point> takeSent(const tenure_record &record);
    bool configured(const slot_id &slot) const;
    bool mine(const tenure &state, time_point now) const;
    std::uint32_t shareFor(const slot_id &slot, const tenure &own, time_point now) const;
    std::size_t heldOrAsked(time_point now) const;
    time_point claimTime(const slot_id &slot, std::uint32_t slotsInZone, time_point now);
    duration retryDelay();
    void tickRenewals(time_point now, std::vector<tenure_append> &out);
    void tickClaims(time_point now, std::vector<tenure_append> &out);
    void tickClaim(const slot_id &slot, std::uint32_t slotsInZone, time_point now,
                   std::vector<tenure_append> &out);
    tenure_append makeAppend(const slot_id &slot, const tenure &state, std::uint32_t slotsInFleet,
                             std::optional<duration> releaseAfter, time_point now);

    node_ref m_self;
    tenure_options m_options;
    random_source &m_random;
    std::map<slot_id, tenure> m_slots;
    std::vector<quota_zone> m_zones;
    std::uint32_t m_slotsInFleet = 0;
    std::vector<sent_append> m_sent;
    std::uint64_t m_nextNumber = 1;
    std::int64_t m_readFrom = -1; ///< First offset that was readable when reading began.
    std::int64_t m_nextOffset = 0;
    time_point m_unknownFreeAt = time_point::max(); ///< When slots without a record are free.
    time_point m_shareSettledAt = time_point::min();
    std::uint32_t m_failures = 0; ///< Failed appends in a row.
    bool m_released = false;
    std::uint64_t m_undecodable = 0;
    std::uint64_t m_outdated = 0;
};

} // namespace tamarackridge
