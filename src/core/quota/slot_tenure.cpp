#include "tamarackridge/src/quota/slot_tenure.h"

#include <algorithm>
#include <xxhash.h>

namespace tamarackridge {
namespace {

// Rounding of the sum of shares 1/n.
constexpr double shareTolerance = 1e-9;

constexpr std::uint32_t maxBackoffDoublings = 10;

double shareOf(std::uint32_t slotsInFleet)
{
    return 1.0 / std::max(slotsInFleet, 1U);
}

duration part(duration whole, double fraction)
{
    return duration(static_cast<duration::rep>(static_cast<double>(whole.count()) * fraction));
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
    // A changed share is announced early, since new slots wait until the others have made room.
    for (auto &[slot, state] : m_slots) {
        if (mine(state, now) && (!configured(slot) || state.slotsInFleet != m_slotsInFleet)) {
            state.appendAt =
                    std::min(state.appendAt, now + part(m_options.claimDelay, m_random.unit()));
        }
    }
}

void slot_tenure::onReadStarted(std::int64_t first)
{
    if (m_readFrom >= 0)
        return;
    m_readFrom = first;
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
    if (m_unknownFreeAt != time_point::max())
        return;
    // Records before the first readable one may have started a lease that is still in force.
    m_unknownFreeAt = m_readFrom > 0 ? now + internal::othersLease(m_options.lease) : now;
}

bool slot_tenure::counts(const tenure_record &record, const tenure &state) const
{
    // The second case is a holder that found no counted record since an offset that lies after the
    // last one: the log had dropped it before the holder began to read.
    return record.previous == state.epoch || (record.readFrom > 0 && state.epoch < record.readFrom);
}

bool slot_tenure::adopted(const tenure_record &record, const tenure &state) const
{
    // The record that this one follows was dropped before this node began to read. Of several such
    // records, the chain that really counted is the one that follows the latest epoch.
    return record.previous < m_readFrom && record.previous > state.adoptAbove;
}

void slot_tenure::apply(std::int64_t offset, duration age, const tenure_record &record,
                        time_point now)
{
    tenure &state = m_slots[record.slot];
    const bool byChain = counts(record, state);
    const std::optional<time_point> sentAt = takeSent(record);
    if (!byChain && !adopted(record, state)) {
        ++m_outdated;
        return;
    }
    if (state.live && record.slotsInFleet > state.slotsInFleet)
        m_shareSettledAt = now + m_options.settleTime;
    const duration known = m_options.trustLogAge ? internal::ownLease(age) : duration{};
    state.holder = record.holder;
    state.epoch = offset;
    state.adoptAbove = byChain ? offset : record.previous;
    state.slotsInFleet = record.slotsInFleet;
    state.live = !record.release;
    state.freeAt = now + internal::othersLease(record.lease) - known;
    // Only tokens that the earlier incarnation granted may still be spent.
    if (isEarlierIncarnation(record))
        state.freeAt = std::min(state.freeAt, now + m_options.settleTime);
    state.heldUntil = time_point::min();
    state.appendAt = time_point::max();
    if (sentAt && !record.release) {
        state.heldUntil = *sentAt + internal::ownLease(record.lease);
        // A random part spreads the renewals of slots that were claimed together.
        state.appendAt = *sentAt + record.lease / 4 - part(record.lease / 32, m_random.unit());
    }
}

bool slot_tenure::isEarlierIncarnation(const tenure_record &record) const
{
    return !m_options.address.empty() && record.address == m_options.address
           && record.holder.zone == m_self.zone && record.holder.name == m_self.name
           && record.holder.incarnation != m_self.incarnation;
}

std::optional<time_point> slot_tenure::takeSent(const tenure_record &record)
{
    if (record.holder != m_self)
        return std::nullopt;
    const auto sent = std::ranges::find_if(m_sent, [&record](const sent_append &append) {
        return append.number == record.number && append.slot == record.slot;
    });
    if (sent == m_sent.end())
        return std::nullopt;
    const time_point sentAt = sent->sentAt;
    m_sent.erase(sent);
    return sentAt;
}

void slot_tenure::onAppendDone(bool accepted)
{
    m_failures = accepted ? 0 : std::min(m_failures + 1, maxBackoffDoublings);
}

std::vector<tenure_append> slot_tenure::tick(time_point now)
{
    std::vector<tenure_append> appends;
    std::erase_if(m_sent, [this, now](const sent_append &append) {
        return append.sentAt + m_options.lease < now;
    });
    if (m_released || m_unknownFreeAt == time_point::max())
        return appends;
    tickRenewals(now, appends);
    tickClaims(now, appends);
    return appends;
}

void slot_tenure::tickRenewals(time_point now, std::vector<tenure_append> &out)
{
    for (auto &[slot, state] : m_slots) {
        if (!mine(state, now) || state.appendAt > now)
            continue;
        state.appendAt = now + retryDelay();
        const std::optional<duration> releaseAfter =
                configured(slot) ? std::nullopt : std::optional(m_options.settleTime);
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
    const time_point freeAt = state.epoch < 0 ? m_unknownFreeAt : state.freeAt;
    if (mine(state, now) || freeAt > now || m_shareSettledAt > now)
        return;
    if (state.appendAt == time_point::max())
        state.appendAt = claimTime(slot, slotsInZone, now);
    // A node that holds slots leaves a free one to others for a while.
    if (state.appendAt + m_options.claimDelay * heldOrAsked(now) > now)
        return;
    const std::uint32_t slotsInFleet = shareFor(slot, state, now);
    if (slotsInFleet == 0)
        return;
    state.appendAt = now + retryDelay();
    out.push_back(makeAppend(slot, state, slotsInFleet, std::nullopt, now));
}

time_point slot_tenure::claimTime(const slot_id &slot, std::uint32_t slotsInZone, time_point now)
{
    // The nodes that prefer this slot spread over one delay, so that the first claim is usually
    // read before the others are sent; the rest of the zone follows.
    const std::uint64_t first = XXH3_64bits(m_self.name.data(), m_self.name.size()) % slotsInZone;
    const std::uint64_t distance = (slot.index + slotsInZone - first) % slotsInZone;
    const double start = distance == 0 ? 0 : 1 + static_cast<double>(distance) / slotsInZone;
    return now + part(m_options.claimDelay, start + m_random.unit());
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
    const duration delay = std::min(m_options.retryAfter * (1U << m_failures), m_options.retryMax);
    return delay + part(delay, m_random.unit());
}

std::size_t slot_tenure::heldOrAsked(time_point now) const
{
    const std::size_t held = static_cast<std::size_t>(std::ranges::count_if(
            m_slots, [this, now](const auto &entry) { return mine(entry.second, now); }));
    const std::size_t asked = static_cast<std::size_t>(
            std::ranges::count_if(m_sent, [this, now](const sent_append &append) {
                const auto slot = m_slots.find(append.slot);
                return append.sentAt + m_options.retryAfter > now && slot != m_slots.end()
                       && !mine(slot->second, now);
            }));
    return held + asked;
}

std::uint32_t slot_tenure::shareFor(const slot_id &slot, const tenure &own, time_point now) const
{
    // Every other slot may be minting with the larger of its recorded and its configured share.
    double sum = shareOf(m_slotsInFleet) * m_slotsInFleet;
    for (const auto &[other, state] : m_slots) {
        if (other == slot || state.freeAt <= now)
            continue;
        const double share = shareOf(state.slotsInFleet);
        sum += configured(other) ? std::max(0.0, share - shareOf(m_slotsInFleet)) : share;
    }
    if (sum <= 1 + shareTolerance)
        return m_slotsInFleet;
    return mine(own, now) ? std::max(own.slotsInFleet, m_slotsInFleet) : 0;
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
    record.previous = state.epoch;
    record.readFrom = m_readFrom;
    record.slotsInFleet = std::max(slotsInFleet, 1U);
    record.lease = releaseAfter.value_or(m_options.lease);
    record.release = releaseAfter.has_value();
    m_sent.push_back({slot, record.number, now});
    return {record.number, encodeTenureRecord(record)};
}

std::vector<tenure_append> slot_tenure::release(duration settle, time_point now)
{
    std::vector<tenure_append> appends;
    m_released = true;
    for (const auto &[slot, state] : m_slots) {
        if (!mine(state, now))
            continue;
        appends.push_back(makeAppend(slot, state, state.slotsInFleet, settle, now));
    }
    return appends;
}

bool slot_tenure::configured(const slot_id &slot) const
{
    return std::ranges::any_of(m_zones, [&slot](const quota_zone &zone) {
        return zone.name == slot.zone && slot.index < zone.slots;
    });
}

bool slot_tenure::mine(const tenure &state, time_point now) const
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
    if (found == m_slots.end() || m_released || !configured(slot))
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
        if (state.live && configured(slot))
            states.push_back({slot, state.holder});
    }
    return states;
}

} // namespace tamarackridge
