#include "core/sidecar/sidecar_quota.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace tamarackridge::internal {
namespace {

// A node's part is not leased: it lasts as long as the process.
constexpr duration unlimitedLease = std::chrono::hours(24 * 365);
// Limits the work when a large directory changes continuously.
constexpr duration assignmentInterval = std::chrono::milliseconds(250);
// Minimum burst of each minter: smaller parts would refuse requests that arrive in pairs, and a
// part of less than one request could never be used.
constexpr micro_tokens minMinterBurst = 4 * microTokensPerRequest;
// Callers retry a refused request after 0.4 s (Retry-After). By then, a minter that had no tokens
// left must be queried again.
constexpr duration maxRequestPause = std::chrono::milliseconds(200);
// Token messages may use 12 of the 16 KB/s that control traffic may cost a node; the rest is for
// heartbeats and the directory.
constexpr std::int64_t exchangeBytesPerSecond = 12'000;

micro_tokens tokens(double requests)
{
    return static_cast<micro_tokens>(requests * static_cast<double>(microTokensPerRequest));
}

customer_rate equalPart(const customer_rate &fleetRate, std::size_t parts)
{
    const auto count = static_cast<micro_tokens>(parts);
    return {fleetRate.name, fleetRate.rate / count, fleetRate.burst / count};
}

pool_options poolOptions()
{
    pool_options options;
    options.maxEmptyHolderDelay = maxRequestPause;
    options.bytesPerSecond = exchangeBytesPerSecond;
    // Other zones are queried only for what the local zone lacks, as traffic between zones is
    // billed.
    options.holdersAskedWhileWaiting = 1;
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

void sidecar_quota::setListedNodes(std::size_t nodes, time_point now)
{
    if (nodes == m_listedNodes)
        return;
    if (m_listedNodes == 0) {
        // The holder is configured with this node's parts of the rates, so it must not divide them
        // again.
        held_slot allSlots;
        allSlots.slotsInFleet = 1;
        allSlots.until = now + unlimitedLease;
        m_holder.setSlots({&allSlots, 1}, now);
    }
    m_listedNodes = nodes;
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
    return 2 * m_membership.members().records().size() < m_listedNodes;
}

std::vector<node_ref> sidecar_quota::mintersOf(const customer_rate &customer,
                                               const std::vector<node_ref> &zone) const
{
    const micro_tokens zoneBurst = customer.burst / static_cast<micro_tokens>(m_zones);
    const std::size_t count = std::clamp<std::size_t>(zoneBurst / minMinterBurst, 1,
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
    if (m_listedNodes == 0)
        return;
    // A node that knows less than half of the fleet cannot tell which parts other nodes mint, so it
    // mints only the part of one node out of all listed ones.
    const std::size_t isolatedParts = isIsolated() ? m_listedNodes : 0;
    const zone_nodes zones = eligibleNodes();
    std::vector<customer_rate> selfRates;
    std::vector<node_ref> holders;
    std::vector<std::vector<std::string>> names(m_rates.size());
    for (std::size_t index = 0; index < m_rates.size(); ++index) {
        const customer_rate &fleetRate = m_rates[index];
        for (const auto &[zone, nodes] : zones) {
            const std::vector<node_ref> minters = mintersOf(fleetRate, nodes);
            for (const node_ref &minter : minters) {
                names[index].push_back(minter.name);
                if (minter.name == m_self.name && isolatedParts == 0)
                    selfRates.push_back(equalPart(fleetRate, m_zones * minters.size()));
                else
                    holders.push_back(minter);
            }
        }
        if (isolatedParts > 0)
            selfRates.push_back(equalPart(fleetRate, isolatedParts));
    }
    std::sort(holders.begin(), holders.end());
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    m_holder.setCustomers(selfRates, now);
    m_pool.setHolders(holders);
    for (std::size_t index = 0; index < m_rates.size(); ++index)
        m_pool.restrictHolders(m_rates[index].name, names[index]);
}

void sidecar_quota::tick(time_point now, action_list &out)
{
    if (now >= m_nextAssignment && m_assignedRevision != m_membership.members().revision()) {
        m_nextAssignment = now + assignmentInterval;
        m_assignedRevision = m_membership.members().revision();
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
