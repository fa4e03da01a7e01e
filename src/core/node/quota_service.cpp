#include "core/node/quota_service.h"

namespace tamarackridge::internal {
namespace {

constexpr duration tenureInterval = std::chrono::milliseconds(100);
// A leaving node waits at most this long for the log to accept the releases of its slots.
constexpr duration releaseTimeout = std::chrono::seconds(3);

std::vector<customer_rate> customerRates(const config_set &set)
{
    std::vector<customer_rate> rates;
    for (const customer &entry : set.objects().customers)
        rates.push_back({entry.name, entry.rate * microTokensPerRequest,
                         entry.burst * microTokensPerRequest});
    return rates;
}

tenure_options tenureOptions(const node_options &options)
{
    tenure_options result;
    result.lease = options.quotaLease;
    result.claimDelay = options.quotaClaimDelay;
    result.address = options.peerEndpoint;
    return result;
}

} // namespace

quota_service::quota_service(const node_options &options, overlay &membership,
                             random_source &random)
    : m_options(options)
    , m_membership(membership)
    , m_tenure(options.self, tenureOptions(options), random)
    , m_holder(random)
    , m_pool(options.self, {}, &m_holder, random)
{ }

void quota_service::configure(const config_set &set, time_point now)
{
    const std::vector<customer_rate> rates = customerRates(set);
    m_holder.setCustomers(rates, now);
    m_pool.setCustomers(rates);
    std::vector<quota_zone> zones;
    for (const zone &entry : set.objects().zones)
        zones.push_back({entry.name, entry.quotaSlots});
    m_tenure.setZones(zones, now);
    const zone *localZone = set.findZone(m_options.self.zone);
    m_localZoneSlots = localZone == nullptr ? 0 : localZone->quotaSlots;
}

void quota_service::updateReading(action_list &out)
{
    // Only as many nodes of a zone claim slots as the zone has; the others request tokens from
    // them.
    const bool shouldRead = m_options.logConfigured && m_membership.rank() < m_localZoneSlots;
    if (!shouldRead || m_reading)
        return;
    m_reading = true;
    out.push_back(read_log{std::string(stream), 0});
}

void quota_service::onLogRecords(std::span<const log_record> records, std::int64_t first,
                                 std::int64_t end, time_point now, action_list &out)
{
    if (!m_readStarted) {
        m_readStarted = true;
        m_tenure.onReadStarted(first);
    }
    for (const log_record &record : records)
        m_tenure.onRecord(record.offset, record.age, record.data, now);
    if (records.empty() || records.back().offset + 1 >= end)
        m_tenure.onCaughtUp(now);
    tick(now, out);
}

void quota_service::append(std::vector<tenure_append> appends, action_list &out)
{
    for (tenure_append &entry : appends) {
        ++m_pendingAppends;
        out.push_back(append_log{entry.number, std::string(stream), std::move(entry.text)});
    }
}

void quota_service::appendDone(append_id, bool accepted)
{
    if (m_pendingAppends > 0)
        --m_pendingAppends;
    m_tenure.onAppendDone(accepted);
}

void quota_service::membersChanged()
{
    m_holdersOutdated = true;
}

void quota_service::updateHolders()
{
    if (!m_holdersOutdated)
        return;
    m_holdersOutdated = false;
    std::vector<node_ref> holders;
    for (const auto &[name, record] : m_membership.members().records()) {
        const bool usable = record.info.holdsQuota && record.health != liveness::dead
                            && record.info.state != member_state::left;
        if (usable && record.info.node != m_options.self)
            holders.push_back(record.info.node);
    }
    m_pool.setHolders(holders);
}

bool quota_service::trySpend(std::string_view customer, time_point now)
{
    return m_pool.trySpend(customer, now);
}

bool quota_service::retrySpend(std::string_view customer, time_point now)
{
    return m_pool.retrySpend(customer, now);
}

bool quota_service::expectsGrant(std::string_view customer, time_point now) const
{
    return m_pool.expectsGrant(customer, now);
}

void quota_service::onRequest(const node_ref &from, const token_request &message, time_point now,
                              action_list &out)
{
    m_membership.send(from.name, m_holder.grant(from, message, now), out);
}

void quota_service::onGrant(const node_ref &from, const token_grant &message, time_point now)
{
    m_pool.onGrant(from, message, now);
}

void quota_service::onReport(const node_ref &from, const token_report &message, time_point now)
{
    m_holder.onReport(from, message, now);
}

void quota_service::send(std::vector<send_peer> &messages, action_list &out)
{
    for (send_peer &message : messages)
        m_membership.send(message.node, std::move(message.message), out);
    messages.clear();
}

void quota_service::tick(time_point now, action_list &out)
{
    updateReading(out);
    updateHolders();
    if (!m_released && now >= m_nextTenureTick) {
        m_nextTenureTick = now + tenureInterval;
        append(m_tenure.tick(now), out);
        const std::vector<held_slot> held = m_tenure.held(now);
        m_holder.setSlots(held, now);
        m_membership.setHoldsQuota(!held.empty(), out);
    }
    requestTokens(now, out);
}

void quota_service::requestTokens(time_point now, action_list &out)
{
    if (now < m_pool.nextTick())
        return;
    m_pool.tick(now, m_messages);
    send(m_messages, out);
}

void quota_service::release(time_point now, action_list &out)
{
    if (m_released)
        return;
    m_released = true;
    m_releaseDeadline = now + releaseTimeout;
    m_pool.returnAll(now, m_messages);
    send(m_messages, out);
    m_holder.setSlots({}, now);
    append(m_tenure.release(m_holder.remainingGrantLease(now), now), out);
}

bool quota_service::releasePending(time_point now) const
{
    return m_released && m_pendingAppends > 0 && now < m_releaseDeadline;
}

} // namespace tamarackridge::internal
