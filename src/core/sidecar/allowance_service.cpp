#include "core/sidecar/allowance_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackridge::internal {
namespace {

// A part ends only with the process.
constexpr duration endless = std::chrono::hours(24 * 365);
constexpr duration holdersInterval = std::chrono::milliseconds(500);

micro_tokens tokens(double requests)
{
    return static_cast<micro_tokens>(requests * static_cast<double>(tokensPerRequest));
}

} // namespace

allowance_service::allowance_service(node_ref self, overlay &membership, random_source &random)
    : m_membership(membership)
    , m_holder(random)
    , m_pool(std::move(self), {}, &m_holder, random)
{ }

void allowance_service::configure(const std::vector<published_customer> &customers, time_point now)
{
    std::vector<customer_rate> rates;
    m_unlimited.clear();
    for (const published_customer &customer : customers) {
        if (customer.rate > 0)
            rates.push_back({customer.name, tokens(customer.rate), tokens(customer.burst)});
        else
            m_unlimited.insert(customer.name);
    }
    m_holder.setCustomers(rates, now);
    m_pool.setCustomers(rates);
}

void allowance_service::setNodes(std::size_t nodes, time_point now)
{
    if (nodes == m_nodes)
        return;
    m_nodes = nodes;
    held_slot part;
    part.slotsInFleet = static_cast<std::uint32_t>(std::max<std::size_t>(nodes, 1));
    part.until = now + endless;
    m_holder.setSlots({&part, 1}, now);
}

bool allowance_service::trySpend(std::string_view customer, time_point now)
{
    return m_unlimited.contains(customer) || m_pool.trySpend(customer, now);
}

bool allowance_service::retrySpend(std::string_view customer, time_point now)
{
    return m_unlimited.contains(customer) || m_pool.retrySpend(customer, now);
}

bool allowance_service::expectsGrant(std::string_view customer, time_point now) const
{
    return m_pool.expectsGrant(customer, now);
}

void allowance_service::onRequest(const node_ref &from, const token_request &message,
                                  time_point now, action_list &out)
{
    m_membership.send(from.name, m_holder.grant(from, message, now), out);
}

void allowance_service::onGrant(const node_ref &from, const token_grant &message, time_point now)
{
    m_pool.onGrant(from, message, now);
}

void allowance_service::onReport(const node_ref &from, const token_report &message, time_point now)
{
    m_holder.onReport(from, message, now);
}

void allowance_service::updateHolders()
{
    if (m_revision == m_membership.members().revision())
        return;
    m_revision = m_membership.members().revision();
    std::vector<node_ref> holders;
    for (const auto &[name, record] : m_membership.members().records()) {
        if (record.health == liveness::alive && record.info.state != member_state::left)
            holders.push_back(record.info.node);
    }
    m_pool.setHolders(holders);
}

void allowance_service::tick(time_point now, action_list &out)
{
    if (now >= m_nextHolders) {
        m_nextHolders = now + holdersInterval;
        updateHolders();
    }
    if (now < m_pool.nextTick())
        return;
    m_pool.tick(now, m_messages);
    for (send_peer &message : m_messages)
        m_membership.send(message.node, std::move(message.message), out);
    m_messages.clear();
}

} // namespace tamarackridge::internal
