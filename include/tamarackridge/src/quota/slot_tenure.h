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

/// \brief Settings for claiming and renewing slots.
struct tenure_options
{
    duration lease = std::chrono::hours(12);
    /// A node that finds a free slot claims it after a random fraction of this delay, so that the
    /// first claim has usually been read before other nodes send theirs. One second per node and
    /// slot is sufficient if records are read within 100 ms.
    duration claimDelay = std::chrono::seconds(2);
    /// Delay before an append is repeated. Doubles with each failure, up to maxRetryDelay.
    duration minRetryDelay = std::chrono::seconds(10);
    duration maxRetryDelay = std::chrono::minutes(5);
    /// Period in which tokens that were granted earlier may still be spent after a holder has
    /// reduced its share. Must be longer than a grant lease.
    duration grantSettleDelay = std::chrono::seconds(3);
    /// Subtracts the age of a record, as reported by the log, from the time that this node waits
    /// for the holder's lease to end. Requires a log whose clock is never adjusted and deviates by
    /// at most 0.5%.
    bool trustLogAge = false;
    /// Peer endpoint of this node; empty if unknown. If an earlier incarnation with the same name
    /// and address holds a slot, this node does not wait for that lease to end: the address belongs
    /// to one VM at a time and this node listens on it, so the earlier incarnation has ended or can
    /// no longer be reached by any caller.
    std::string address;

    /// \returns options with which few claims lose a race in a fleet of this size.
    static tenure_options forFleet(std::size_t nodes, std::size_t slots);
};

/// \brief A record to append to the log stream `quota`.
struct tenure_append
{
    std::uint64_t number = 0; ///< Unique within this incarnation of the node.
    std::string text;
};

/// \brief A slot that this node holds.
struct held_slot
{
    slot_id slot;
    std::uint32_t slotsInFleet = 1; ///< The holder mints 1/slotsInFleet of each rate.
    time_point until;
};

/// \brief The holder of a slot according to the log.
struct slot_state
{
    slot_id slot;
    node_ref holder;
};

/// \brief Claims, renews and releases quota slots through the log stream `quota`.
///
/// A slot is an equal share of the rate and burst of every customer. Its holder mints the tokens of
/// this share for the duration of a lease. A record is accepted if it follows the last accepted
/// record of its slot, so that all readers of the log agree on the holder of each slot.
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

    /// \brief Sets the zones of the current configuration.
    void setZones(std::span<const quota_zone> zones, time_point now);

    /// \brief Processes a record of the stream. Records must be passed in order of offset; a
    /// repeated offset is ignored.
    void onRecord(std::int64_t offset, duration age, std::string_view text, time_point now);
    /// \brief Must be called before the first onRecord(), with the oldest offset of the log. Later
    /// calls have no effect.
    void onReadStarted(std::int64_t first);
    /// \brief Must be called when all records of the log have been passed to onRecord(). No slot is
    /// claimed before the first call.
    void onCaughtUp(time_point now);
    /// \brief Must be called when an append has completed. \a accepted is false if it is unknown
    /// whether the record was appended. It affects only the delay before appends are repeated,
    /// since a slot is held only after the record has been read back.
    void onAppendDone(bool accepted);

    /// \returns the claims and renewals that are due.
    std::vector<tenure_append> tick(time_point now);
    /// \brief Releases all slots. May be called again until the release records have been read
    /// back.
    /// \param remainingGrantLease period in which tokens granted earlier may still be spent.
    /// \returns the release records to append.
    std::vector<tenure_append> release(duration remainingGrantLease, time_point now);

    /// \returns whether this node may mint tokens for \a slot.
    bool holds(const slot_id &slot, time_point now) const;
    /// \returns the end of this node's lease, or time_point::min() if it never held the slot.
    time_point heldUntil(const slot_id &slot) const;
    /// \returns the slots that this node holds.
    std::vector<held_slot> held(time_point now) const;
    /// \returns the holders of the configured slots that have not been released. Token requests are
    /// sent to these nodes.
    std::vector<slot_state> slots() const;

    /// \returns the number of records that could not be decoded.
    std::uint64_t undecodable() const { return m_undecodable; }
    /// \returns the number of records that were decoded but not accepted.
    std::uint64_t ignoredRecords() const { return m_ignoredRecords; }

private:
    struct tenure
    {
        node_ref holder;
        std::int64_t acceptedOffset = -1; ///< Offset of the last accepted record.
        /// A record whose predecessor this node could not read is accepted only if that
        /// predecessor's offset is above this.
        std::int64_t adoptionThreshold = -1;
        std::uint32_t slotsInFleet = 1;
        bool isClaimed = false; ///< Claimed and not released.
        /// When other nodes may claim the slot, on this node's clock.
        time_point freeAt = time_point::min();
        time_point heldUntil = time_point::min(); ///< End of this node's lease.
        time_point nextAppendAt = time_point::max(); ///< Next claim or renewal by this node.
    };
    struct pending_append
    {
        slot_id slot;
        std::uint64_t number = 0;
        time_point sentAt;
    };

    bool isFromEarlierIncarnation(const tenure_record &record) const;
    bool followsAcceptedChain(const tenure_record &record, const tenure &state) const;
    bool isAdoptable(const tenure_record &record, const tenure &state) const;
    void apply(std::int64_t offset, duration age, const tenure_record &record, time_point now);
    /// \returns when this node sent \a record, or nothing if this incarnation did not send it.
    std::optional<time_point> takeSendTime(const tenure_record &record);
    bool isConfigured(const slot_id &slot) const;
    bool isHeldLocally(const tenure &state, time_point now) const;
    std::uint32_t shareFor(const slot_id &slot, const tenure &current, time_point now) const;
    std::size_t heldOrPendingCount(time_point now) const;
    time_point nextClaimTime(const slot_id &slot, std::uint32_t slotsInZone, time_point now);
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
    std::vector<pending_append> m_pendingAppends;
    std::uint64_t m_nextNumber = 1;
    std::int64_t m_firstReadOffset = -1; ///< Oldest offset of the log when reading started.
    std::int64_t m_nextOffset = 0;
    /// When slots without an accepted record may be claimed.
    time_point m_unrecordedFreeAt = time_point::max();
    /// Earliest time of a new claim. After a holder has announced a smaller share, claims wait
    /// until the tokens that it granted before can no longer be spent.
    time_point m_claimsAllowedAt = time_point::min();
    std::uint32_t m_consecutiveFailures = 0; ///< Consecutive failed appends.
    bool m_released = false;
    std::uint64_t m_undecodable = 0;
    std::uint64_t m_ignoredRecords = 0;
};

} // namespace tamarackridge
