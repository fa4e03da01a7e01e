#pragma once

#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/quota/slot_holder.h"
#include "tamarackridge/src/quota/token_pool.h"
#include "tamarackridge/src/sidecar/published_set.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::internal {

/// \brief Enforces the customers' rates without leases in a log: selected nodes of each zone mint
/// tokens for equal parts of a rate.
///
/// Each zone gets an equal part of a rate. Within the zone, the nodes with the highest rendezvous
/// hash for the customer mint tokens; there are as many of them as possible while the burst of each
/// still covers a few requests. The parts add up to the customer's rate, so the limit holds in any
/// network partition. Nodes request tokens from the minters of the local zone first, then from
/// those of other zones. A node that cannot be reached may go on minting; its part therefore passes
/// to another node only after it announces that it is leaving, or after the membership has removed
/// it.
class sidecar_quota
{
public:
    /// \param zones number of availability zones of the deployment.
    sidecar_quota(node_ref self, std::size_t zones, overlay &membership, random_source &random);

    void configure(const std::vector<published_customer> &customers, time_point now);
    /// \brief Sets the number of nodes that the platform lists. No tokens are minted before the
    /// first call.
    void setListedNodes(std::size_t nodes, time_point now);

    bool trySpend(std::string_view customer, time_point now);
    bool retrySpend(std::string_view customer, time_point now);
    bool expectsGrant(std::string_view customer, time_point now) const;

    void onRequest(const node_ref &from, const token_request &message, time_point now,
                   action_list &out);
    void onGrant(const node_ref &from, const token_grant &message, time_point now);
    void onReport(const node_ref &from, const token_report &message, time_point now);
    void tick(time_point now, action_list &out);

private:
    using zone_nodes = std::map<std::string, std::vector<node_ref>, std::less<>>;

    void assignMinters(time_point now);
    zone_nodes eligibleNodes() const;
    bool isIsolated() const;
    /// \returns the nodes among \a zone that mint tokens for \a customer.
    std::vector<node_ref> mintersOf(const customer_rate &customer,
                                    const std::vector<node_ref> &zone) const;

    node_ref m_self;
    std::size_t m_zones;
    overlay &m_membership;
    slot_holder m_holder;
    token_pool m_pool;
    std::vector<customer_rate> m_rates; ///< Rates that hold for the whole fleet.
    std::set<std::string, std::less<>> m_unlimited; ///< Customers without a rate.
    std::uint64_t m_assignedRevision = 0; ///< Directory revision of the last assignment of minters.
    std::size_t m_listedNodes = 0;
    time_point m_nextAssignment;
    std::vector<send_peer> m_messages;
};

} // namespace tamarackridge::internal
