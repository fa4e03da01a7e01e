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

/// \brief Customers' rates without leases in a log: some nodes of each zone mint equal parts.
///
/// Each zone has an equal part of a rate, and within the zone the nodes of highest rendezvous hash
/// with the customer mint it: as many as leave each a part that is worth some requests. The parts
/// add up to the whole, so the limit holds through any partition. Nodes ask the minters of their
/// own zone for tokens, then those of other zones. A node that is out of touch may go on minting,
/// so its part passes to another only when it says that it leaves or the membership forgets it.
class sidecar_quota
{
public:
    /// \param zones availability zones of the deployment.
    sidecar_quota(node_ref self, std::size_t zones, overlay &membership, random_source &random);

    void configure(const std::vector<published_customer> &customers, time_point now);
    /// \brief Sets the number of nodes that the platform lists; nothing is minted before.
    void setListed(std::size_t nodes, time_point now);

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
    /// \returns the nodes of \a zone that mint for \a customer.
    std::vector<node_ref> mintersOf(const customer_rate &customer,
                                    const std::vector<node_ref> &zone) const;

    node_ref m_self;
    std::size_t m_zones;
    overlay &m_membership;
    slot_holder m_holder;
    token_pool m_pool;
    std::vector<customer_rate> m_rates; ///< Of the whole fleet.
    std::set<std::string, std::less<>> m_unlimited; ///< Customers without a rate.
    std::uint64_t m_revision = 0; ///< Of the directory that the minters were taken from.
    std::size_t m_listed = 0;
    time_point m_nextAssignment;
    std::vector<send_peer> m_messages;
};

} // namespace tamarackridge::internal
