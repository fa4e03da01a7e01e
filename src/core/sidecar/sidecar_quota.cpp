#include "core/sidecar/sidecar_quota.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace tamarackridge::internal {
namespace {

// A part ends only with the process.
constexpr duration endless = std::chrono::hours(24 * 365);
// Bounds the work of a large directory that changes all the time.
constexpr duration assignmentInterval = std::chrono::milliseconds(250);
// Requests that a minter's part of the burst is to hold at least: smaller parts would refuse
// requests that come in pairs, and parts below one request could never be used.
constexpr micro_tokens leastPart = 4 * microTokensPerRequest;
// A request that was refused asks again after 0.4 s; by then a minter that had nothing left is to
// be asked again.
constexpr duration longestPause = std::chrono::milliseconds(200);
// Of the 16 KB/s that control may cost a node, the rest being for heartbeats and the directory.
constexpr std::int64_t exchangeBytesPerSecond = 12'000;

micro_tokens tokens(double requests)
{
    return static_cast<micro_tokens>(requests * static_cast<double>(microTokensPerRequest));
}

customer_rate partOf(const customer_rate &whole, std::size_t parts)
{
    const auto count = static_cast<micro_tokens>(parts);
    return {whole.name, whole.rate / count, whole.burst / count};
}

pool_options poolOptions()
{
    pool_options options;
    options.maxEmptyHolderDelay = longestPause;
    options.bytesPerSecond = exchangeBytesPerSecond;
    options.holdersAskedWhileWaiting =
            1; // Other zones only for what the own one lacks: bytes are priced.
    return options;
}

std::uint64_t affinity(std::string_view customer, std::string_view node)
{
    const std::uint64_t seed = XXH3_64bits(customer.data(), customer.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

} // namespace

sidecar_quota::sidecar_quota(node_ref self, std::size_t zones, overlay &membership,
                             random_source &random)
    : m_self(std::move(self))
    , m_zones(std::max<std::size_t>(zones, 1))
    , m_membership(membership)
    , m_holder(random)
    , m_pool(m_self, poolOptions(), &m_holder, random)
{ }

void sidecar_quota::configure(const std::vector<published_customer> &customers, time_point now)
{
    m_rates.clear();
    m_unlimited.clear();
    for (const published_customer &customer : customers) {
        if (customer.rate > 0)
            m_rates.push_back({customer.name, tokens(customer.rate), tokens(customer.burst)});
        else
            m_unlimited.insert(customer.name);
    }
    m_pool.setCustomers(m_rates);
    assignMinters(now);
}

void sidecar_quota::setListed(std::size_t nodes, time_point now)
{
    if (nodes == m_listed)
        return;
    if (m_listed == 0) {
        held_slot whole; // The rates that the holder is given are this node's parts already.
        whole.slotsInFleet = 1;
        whole.until = now + endless;
        m_holder.setSlots({&whole, 1}, now);
    }
    m_listed = nodes;
    assignMinters(now);
}

bool sidecar_quota::trySpend(std::string_view customer, time_point now)
{
    return m_unlimited.contains(customer) || m_pool.trySpend(customer, now);
}

bool sidecar_quota::retrySpend(std::string_view customer, time_point now)
{
    return m_unlimited.contains(customer) || m_pool.retrySpend(customer, now);
}

bool sidecar_quota::expectsGrant(std::string_view customer, time_point now) const
{
    return m_pool.expectsGrant(customer, now);
}

void sidecar_quota::onRequest(const node_ref &from, const token_request &message, time_point now,
                              action_list &out)
{
    m_membership.send(from.name, m_holder.grant(from, message, now), out);
}

void sidecar_quota::onGrant(const node_ref &from, const token_grant &message, time_point now)
{
    m_pool.onGrant(from, message, now);
}

void sidecar_quota::onReport(const node_ref &from, const token_report &message, time_point now)
{
    m_holder.onReport(from, message, now);
}

sidecar_quota::zone_nodes sidecar_quota::eligibleNodes() const
{
    zone_nodes zones;
    for (const auto &[name, record] : m_membership.members().records()) {
        const member_state state = record.info.state;
        if (state != member_state::leaving && state != member_state::left)
            zones[record.info.node.zone].push_back(record.info.node);
    }
    return zones;
}

bool sidecar_quota::isIsolated() const
{
    return 2 * m_membership.members().records().size() < m_listed;
}

std::vector<node_ref> sidecar_quota::mintersOf(const customer_rate &customer,
                                               const std::vector<node_ref> &zone) const
{
    const micro_tokens zoneBurst = customer.burst / static_cast<micro_tokens>(m_zones);
    const std::size_t count = std::clamp<std::size_t>(zoneBurst / leastPart, 1,
                                                      std::max<std::size_t>(zone.size(), 1));
    std::vector<std::pair<std::uint64_t, const node_ref *>> order;
    order.reserve(zone.size());
    for (const node_ref &node : zone)
        order.emplace_back(affinity(customer.name, node.name), &node);
    std::sort(order.begin(), order.end(), std::greater<>());
    std::vector<node_ref> minters;
    for (std::size_t place = 0; place < std::min(count, order.size()); ++place)
        minters.push_back(*order[place].second);
    return minters;
}

void sidecar_quota::assignMinters(time_point now)
{
    if (m_listed == 0)
        return;
    // A node that has not found the fleet yet cannot tell which parts are minted elsewhere.
    const std::size_t isolatedShare = isIsolated() ? m_listed : 0;
    const zone_nodes zones = eligibleNodes();
    std::vector<customer_rate> own;
    std::vector<node_ref> holders;
    std::vector<std::vector<std::string>> names(m_rates.size());
    for (std::size_t index = 0; index < m_rates.size(); ++index) {
        const customer_rate &whole = m_rates[index];
        for (const auto &[zone, nodes] : zones) {
            const std::vector<node_ref> minters = mintersOf(whole, nodes);
            for (const node_ref &minter : minters) {
                names[index].push_back(minter.name);
                if (minter.name == m_self.name && isolatedShare == 0)
                    own.push_back(partOf(whole, m_zones * minters.size()));
                else
                    holders.push_back(minter);
            }
        }
        if (isolatedShare > 0)
            own.push_back(partOf(whole, isolatedShare));
    }
    std::sort(holders.begin(), holders.end());
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    m_holder.setCustomers(own, now);
    m_pool.setHolders(holders);
    for (std::size_t index = 0; index < m_rates.size(); ++index)
        m_pool.setHoldersOf(m_rates[index].name, names[index]);
}

void sidecar_quota::tick(time_point now, action_list &out)
{
    if (now >= m_nextAssignment && m_revision != m_membership.members().revision()) {
        m_nextAssignment = now + assignmentInterval;
        m_revision = m_membership.members().revision();
        assignMinters(now);
    }
    if (now < m_pool.nextTick())
        return;
    m_pool.tick(now, m_messages);
    for (send_peer &message : m_messages)
        m_membership.send(message.node, std::move(message.message), out);
    m_messages.clear();
}

} // namespace tamarackridge::internal
