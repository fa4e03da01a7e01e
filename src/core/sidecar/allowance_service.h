#pragma once

#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/quota/slot_holder.h"
#include "tamarackridge/src/quota/token_pool.h"
#include "tamarackridge/src/sidecar/published_set.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::internal {

/// \brief Customers' rates without leases in a log: every node mints its equal part.
///
/// The parts of all nodes add up to the whole, so the limit holds through any partition. Tokens
/// that one node does not need are granted to others that ask. The number of nodes falls only when
/// the membership forgets a node: one that is out of touch may go on using its part.
class allowance_service
{
public:
    allowance_service(node_ref self, overlay &membership, random_source &random);

    void configure(const std::vector<published_customer> &customers, time_point now);
    /// \brief Sets the number of nodes that share the rates.
    void setNodes(std::size_t nodes, time_point now);

    bool trySpend(std::string_view customer, time_point now);
    bool retrySpend(std::string_view customer, time_point now);
    bool expectsGrant(std::string_view customer, time_point now) const;

    void onRequest(const node_ref &from, const token_request &message, time_point now,
                   action_list &out);
    void onGrant(const node_ref &from, const token_grant &message, time_point now);
    void onReport(const node_ref &from, const token_report &message, time_point now);
    void tick(time_point now, action_list &out);

private:
    void updateHolders();

    overlay &m_membership;
    slot_holder m_holder;
    token_pool m_pool;
    std::set<std::string, std::less<>> m_unlimited; ///< Customers without a rate.
    std::uint64_t m_revision = 0; ///< Of the directory that the holders were taken from.
    std::size_t m_nodes = 0;
    time_point m_nextHolders;
    std::vector<send_peer> m_messages;
};

} // namespace tamarackridge::internal
