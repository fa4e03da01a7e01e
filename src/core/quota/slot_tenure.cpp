#include "tamarackridge/src/quota/slot_tenure.h"

#include <algorithm>
#include <xxhash.h>

namespace tamarackridge {
namespace {

// Tolerance for rounding errors in a sum of shares 1/n.
constexpr double shareTolerance = 1e-9;

constexpr std::uint32_t maxBackoffDoublings = 10;

double shareOf(std::uint32_t slotsInFleet)
{
    return 1.0 / std::max(slotsInFleet, 1U);
}

duration fractionOf(duration length, double fraction)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * fraction));
}

} // namespace

slot_tenure::slot_tenure(node_ref self, tenure_options options, random_source &random)
    : m_self(std::move(self))
    , m_options(std::move(options))
    , m_random(random)
{ }

void slot_tenure::setZones(std::span<const quota_zone> zones, time_point now)
{
    m_zones.assign(zones.begin(), zones.end());
    m_slotsInFleet = 0;
    for (const quota_zone &zone : m_zones)
        m_slotsInFleet += zone.slots;
    // Renews held slots early to announce a changed share, since new slots cannot be claimed until
    // the existing ones have reduced their shares.
    for (auto &[slot, state] : m_slots) {
        if (isHeldLocally(state, now)
            && (!isConfigured(slot) || state.slotsInFleet != m_slotsInFleet)) {
            state.nextAppendAt = std::min(state.nextAppendAt,
                                          now + fractionOf(m_options.claimDelay, m_random.unit()));
        }
    }
}

void slot_tenure::onReadStarted(std::int64_t first)
{
    if (m_firstReadOffset >= 0)
        return;
    m_firstReadOffset = first;
    m_nextOffset = first;
}

void slot_tenure::onRecord(std::int64_t offset, duration age, std::string_view text, time_point now)
{
    onReadStarted(offset);
    if (offset < m_nextOffset)
        return;
    m_nextOffset = offset + 1;
    const std::optional<tenure_record> record = decodeTenureRecord(text);
    if (!record || record->previous >= offset || record->readFrom > offset) {
        ++m_undecodable;
        return;
    }
    apply(offset, age, *record, now);
}

void slot_tenure::onCaughtUp(time_point now)
{
    onReadStarted(0);
    if (m_unrecordedFreeAt != time_point::max())
        return;
    // Records that were removed from the log before this node could read them may have started a
    // lease that is still valid.
    m_unrecordedFreeAt =
            m_firstReadOffset > 0 ? now + internal::extendForClockError(m_options.lease) : now;
}

bool slot_tenure::followsAcceptedChain(const tenure_record &record, const tenure &state) const
{
    // Normally a record follows the last accepted one. A record is also accepted if its sender
    // started to read after the last accepted record: the log had removed that record, so the
    // sender could not refer to it.
    return record.previous == state.acceptedOffset
           || (record.readFrom > 0 && state.acceptedOffset < record.readFrom);
}

bool slot_tenure::isAdoptable(const tenure_record &record, const tenure &state) const
{
    // The log had removed the predecessor of this record before this node started to read. If there
    // are several such records, the accepted chain is the one whose removed predecessor has the
    // highest offset.
    return record.previous < m_firstReadOffset && record.previous > state.adoptionThreshold;
}

void slot_tenure::apply(std::int64_t offset, duration age, const tenure_record &record,
                        time_point now)
{
    tenure &state = m_slots[record.slot];
    const bool followsChain = followsAcceptedChain(record, state);
    const std::optional<time_point> sentAt = takeSendTime(record);
    if (!followsChain && !isAdoptable(record, state)) {
        ++m_ignoredRecords;
        return;
    }
    if (state.isClaimed && record.slotsInFleet > state.slotsInFleet)
        m_claimsAllowedAt = now + m_options.grantSettleDelay;
    const duration elapsed =
            m_options.trustLogAge ? internal::shortenForClockError(age) : duration{};
    state.holder = record.holder;
    state.acceptedOffset = offset;
    state.adoptionThreshold = followsChain ? offset : record.previous;
    state.slotsInFleet = record.slotsInFleet;
    state.isClaimed = !record.release;
    state.freeAt = now + internal::extendForClockError(record.lease) - elapsed;
    // The earlier incarnation has ended; only tokens that it granted may still be spent.
    if (isFromEarlierIncarnation(record))
        state.freeAt = std::min(state.freeAt, now + m_options.grantSettleDelay);
    state.heldUntil = time_point::min();
    state.nextAppendAt = time_point::max();
    if (sentAt && !record.release) {
        state.heldUntil = *sentAt + internal::shortenForClockError(record.lease);
        // The random part spreads the renewals of slots that were claimed at the same time.
        state.nextAppendAt =
                *sentAt + record.lease / 4 - fractionOf(record.lease / 32, m_random.unit());
    }
}

bool slot_tenure::isFromEarlierIncarnation(const tenure_record &record) const
{
    return !m_options.address.empty() && record.address == m_options.address
           && record.holder.zone == m_self.zone && record.holder.name == m_self.name
           && record.holder.incarnation != m_self.incarnation;
}

std::optional<time_point> slot_tenure::takeSendTime(const tenure_record &record)
{
    if (record.holder != m_self)
        return std::nullopt;
    const auto sent =
            std::ranges::find_if(m_pendingAppends, [&record](const pending_append &append) {
                return append.number == record.number && append.slot == record.slot;
            });
    if (sent == m_pendingAppends.end())
        return std::nullopt;
    const time_point sentAt = sent->sentAt;
    m_pendingAppends.erase(sent);
    return sentAt;
}

void slot_tenure::onAppendDone(bool accepted)
{
    m_consecutiveFailures = accepted ? 0 : std::min(m_consecutiveFailures + 1, maxBackoffDoublings);
}

std::vector<tenure_append> slot_tenure::tick(time_point now)
{
    std::vector<tenure_append> appends;
    std::erase_if(m_pendingAppends, [this, now](const pending_append &append) {
        return append.sentAt + m_options.lease < now;
    });
    if (m_released || m_unrecordedFreeAt == time_point::max())
        return appends;
    tickRenewals(now, appends);
    tickClaims(now, appends);
    return appends;
}

void slot_tenure::tickRenewals(time_point now, std::vector<tenure_append> &out)
{
    for (auto &[slot, state] : m_slots) {
        if (!isHeldLocally(state, now) || state.nextAppendAt > now)
            continue;
        state.nextAppendAt = now + retryDelay();
        const std::optional<duration> releaseAfter =
                isConfigured(slot) ? std::nullopt : std::optional(m_options.grantSettleDelay);
        out.push_back(makeAppend(slot, state, shareFor(slot, state, now), releaseAfter, now));
    }
}

void slot_tenure::tickClaims(time_point now, std::vector<tenure_append> &out)
{
    for (const quota_zone &zone : m_zones) {
        if (zone.name != m_self.zone)
            continue;
        for (std::uint32_t index = 0; index < zone.slots; ++index)
            tickClaim({zone.name, index}, zone.slots, now, out);
    }
}

void slot_tenure::tickClaim(const slot_id &slot, std::uint32_t slotsInZone, time_point now,
                            std::vector<tenure_append> &out)
{
    tenure &state = m_slots[slot];
    const time_point freeAt = state.acceptedOffset < 0 ? m_unrecordedFreeAt : state.freeAt;
    if (isHeldLocally(state, now) || freeAt > now || m_claimsAllowedAt > now)
        return;
    if (state.nextAppendAt == time_point::max())
        state.nextAppendAt = nextClaimTime(slot, slotsInZone, now);
    // A node waits longer for each slot that it holds or has claimed, so that other nodes can claim
    // the free slot first.
    if (state.nextAppendAt + m_options.claimDelay * heldOrPendingCount(now) > now)
        return;
    const std::uint32_t slotsInFleet = shareFor(slot, state, now);
    if (slotsInFleet == 0)
        return;
    state.nextAppendAt = now + retryDelay();
    out.push_back(makeAppend(slot, state, slotsInFleet, std::nullopt, now));
}

time_point slot_tenure::nextClaimTime(const slot_id &slot, std::uint32_t slotsInZone,
                                      time_point now)
{
    // The nodes whose name hashes to this slot claim it within the first claim delay, at random
    // times, so that the first claim has usually been read before the other nodes send theirs. The
    // remaining nodes of the zone wait for one to two delays longer.
    const std::uint64_t preferred =
            XXH3_64bits(m_self.name.data(), m_self.name.size()) % slotsInZone;
    const std::uint64_t distance = (slot.index + slotsInZone - preferred) % slotsInZone;
    const double start = distance == 0 ? 0 : 1 + static_cast<double>(distance) / slotsInZone;
    return now + fractionOf(m_options.claimDelay, start + m_random.unit());
}

tenure_options tenure_options::forFleet(std::size_t nodes, std::size_t slots)
{
    const std::size_t nodesPerSlot = nodes / std::max<std::size_t>(slots, 1);
    tenure_options options;
    options.claimDelay = std::clamp<duration>(std::chrono::seconds(nodesPerSlot),
                                              options.claimDelay, std::chrono::seconds(30));
    return options;
}

duration slot_tenure::retryDelay()
{
    const duration delay = std::min(m_options.minRetryDelay * (1U << m_consecutiveFailures),
                                    m_options.maxRetryDelay);
    return delay + fractionOf(delay, m_random.unit());
}

std::size_t slot_tenure::heldOrPendingCount(time_point now) const
{
    const std::size_t held = static_cast<std::size_t>(std::ranges::count_if(
            m_slots, [this, now](const auto &entry) { return isHeldLocally(entry.second, now); }));
    const std::size_t pending = static_cast<std::size_t>(
            std::ranges::count_if(m_pendingAppends, [this, now](const pending_append &append) {
                const auto slot = m_slots.find(append.slot);
                return append.sentAt + m_options.minRetryDelay > now && slot != m_slots.end()
                       && !isHeldLocally(slot->second, now);
            }));
    return held + pending;
}

std::uint32_t slot_tenure::shareFor(const slot_id &slot, const tenure &current,
                                    time_point now) const
{
    // Each other slot may be minting with its recorded or its configured share, so the larger one
    // is added to the sum.
    double sum = shareOf(m_slotsInFleet) * m_slotsInFleet;
    for (const auto &[other, state] : m_slots) {
        if (other == slot || state.freeAt <= now)
            continue;
        const double share = shareOf(state.slotsInFleet);
        sum += isConfigured(other) ? std::max(0.0, share - shareOf(m_slotsInFleet)) : share;
    }
    if (sum <= 1 + shareTolerance)
        return m_slotsInFleet;
    return isHeldLocally(current, now) ? std::max(current.slotsInFleet, m_slotsInFleet) : 0;
}

tenure_append slot_tenure::makeAppend(const slot_id &slot, const tenure &state,
                                      std::uint32_t slotsInFleet,
                                      std::optional<duration> releaseAfter, time_point now)
{
    tenure_record record;
    record.slot = slot;
    record.holder = m_self;
    record.address = m_options.address;
    record.number = m_nextNumber++;
    record.previous = state.acceptedOffset;
    record.readFrom = m_firstReadOffset;
    record.slotsInFleet = std::max(slotsInFleet, 1U);
    record.lease = releaseAfter.value_or(m_options.lease);
    record.release = releaseAfter.has_value();
    m_pendingAppends.push_back({slot, record.number, now});
    return {record.number, encodeTenureRecord(record)};
}

std::vector<tenure_append> slot_tenure::release(duration remainingGrantLease, time_point now)
{
    std::vector<tenure_append> appends;
    m_released = true;
    for (const auto &[slot, state] : m_slots) {
        if (!isHeldLocally(state, now))
            continue;
        appends.push_back(makeAppend(slot, state, state.slotsInFleet, remainingGrantLease, now));
    }
    return appends;
}

bool slot_tenure::isConfigured(const slot_id &slot) const
{
    return std::ranges::any_of(m_zones, [&slot](const quota_zone &zone) {
        return zone.name == slot.zone && slot.index < zone.slots;
    });
}

bool slot_tenure::isHeldLocally(const tenure &state, time_point now) const
{
    return state.holder == m_self && state.heldUntil > now;
}

bool slot_tenure::holds(const slot_id &slot, time_point now) const
{
    return heldUntil(slot) > now;
}

time_point slot_tenure::heldUntil(const slot_id &slot) const
{
    const auto found = m_slots.find(slot);
    if (found == m_slots.end() || m_released || !isConfigured(slot))
        return time_point::min();
    return found->second.heldUntil;
}

std::vector<held_slot> slot_tenure::held(time_point now) const
{
    std::vector<held_slot> slots;
    for (const auto &[slot, state] : m_slots) {
        if (holds(slot, now))
            slots.push_back({slot, std::max(state.slotsInFleet, m_slotsInFleet), state.heldUntil});
    }
    return slots;
}

std::vector<slot_state> slot_tenure::slots() const
{
    std::vector<slot_state> states;
    for (const auto &[slot, state] : m_slots) {
        if (state.isClaimed && isConfigured(slot))
            states.push_back({slot, state.holder});
    }
    return states;
}

} // namespace tamarackridge
