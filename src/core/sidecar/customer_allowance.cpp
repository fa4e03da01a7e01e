#include "tamarackridge/src/sidecar/customer_allowance.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

// The part of a small burst on one of many nodes; below it, the spread of arrivals alone would
// refuse requests.
constexpr double smallestBurst = 2;

} // namespace

void customer_allowance::configure(const std::vector<published_customer> &customers, time_point now)
{
    std::map<std::string, account, std::less<>> next;
    for (const published_customer &customer : customers) {
        if (customer.rate <= 0)
            continue;
        account item{customer.rate, customer.burst, 0, now};
        const auto known = m_accounts.find(customer.name);
        if (known != m_accounts.end()) {
            refill(known->second, now);
            item.tokens = std::min(known->second.tokens, burstPart(item));
        } else {
            item.tokens = burstPart(item);
        }
        next.emplace(customer.name, item);
    }
    m_accounts = std::move(next);
}

void customer_allowance::setNodes(std::size_t nodes, time_point now)
{
    const double count = static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (count == m_nodes)
        return;
    for (auto &[name, item] : m_accounts)
        refill(item, now);
    m_nodes = count;
    for (auto &[name, item] : m_accounts)
        item.tokens = std::min(item.tokens, burstPart(item));
}

bool customer_allowance::trySpend(std::string_view customer, time_point now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return true;
    refill(found->second, now);
    if (found->second.tokens < 1)
        return false;
    found->second.tokens -= 1;
    return true;
}

duration customer_allowance::retryAfter(std::string_view customer) const
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return duration::zero();
    const double seconds = std::max(1 - found->second.tokens, 0.0) * m_nodes / found->second.rate;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double customer_allowance::burstPart(const account &item) const
{
    return std::max(item.burst / m_nodes, smallestBurst);
}

void customer_allowance::refill(account &item, time_point now) const
{
    const double passed = std::chrono::duration<double>(now - item.filledAt).count();
    item.filledAt = now;
    item.tokens =
            std::min(item.tokens + std::max(passed, 0.0) * item.rate / m_nodes, burstPart(item));
}

} // namespace tamarackridge
