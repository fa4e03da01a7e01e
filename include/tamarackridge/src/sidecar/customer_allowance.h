#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/sidecar/published_set.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief This node's part of every customer's rate and burst.
///
/// The parts of all nodes add up to the whole, so the limit holds without messages and through any
/// partition. The number of nodes falls only after nodes have been gone for a while: a node that
/// is out of touch may go on using its part.
///
/// \code
/// customer_allowance allowance;
/// allowance.configure(set.customers, now);
/// allowance.setNodes(16, now);
/// const bool admitted = allowance.trySpend("andina", now);
/// \endcode
class customer_allowance
{
public:
    void configure(const std::vector<published_customer> &customers, time_point now);
    /// \brief Sets the number of nodes that share the rates, at least 1.
    void setNodes(std::size_t nodes, time_point now);
    /// \returns true when a request of \a customer is within this node's part; unknown customers
    /// have no limit here.
    bool trySpend(std::string_view customer, time_point now);
    /// \returns the time until the next request of \a customer fits.
    duration retryAfter(std::string_view customer) const;

private:
    struct account
    {
        double rate = 0; ///< Of the whole fleet, per second.
        double burst = 0; ///< Of the whole fleet.
        double tokens = 0;
        time_point filledAt;
    };

    double burstPart(const account &item) const;
    void refill(account &item, time_point now) const;

    std::map<std::string, account, std::less<>> m_accounts;
    double m_nodes = 1;
};

} // namespace tamarackridge
