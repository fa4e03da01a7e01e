// Exchanges of token_pool with slot holders: demand estimates, token requests and reports.
#include "tamarackridge/src/quota/token_pool.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tamarackridge {
namespace {

// Estimated sizes on the wire: the envelope with all fixed fields, and one customer name with an
// amount.
constexpr double bytesPerMessage = 40;
constexpr double bytesPerAmount = 12;

// Budget of one slot holder for its exchanges with all nodes.
constexpr std::size_t holderBytesPerSecond = 8000;

// Requests per second below which a node requests tokens only when a request needs one.
constexpr double minPrefetchDemand = 1.0;
constexpr duration demandWindow = std::chrono::milliseconds(500);
// Demand that is requested in advance after a grant that was too small.
constexpr duration underGrantedHorizon = std::chrono::milliseconds(500);
// Tokens that expire within this time are returned instead of spent.
constexpr duration returnBeforeExpiry = std::chrono::milliseconds(300);
constexpr duration maxUnresponsiveDelay = std::chrono::seconds(5);

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

pool_options pool_options::forFleet(std::size_t nodes, std::size_t slots)
{
    pool_options options;
    const std::size_t nodeCount = std::max<std::size_t>(nodes, 1);
    options.bytesPerSecond =
            std::min(options.bytesPerSecond,
                     static_cast<std::int64_t>(holderBytesPerSecond * slots / nodeCount));
    return options;
}

void token_pool::tick(time_point now, std::vector<send_peer> &out)
{
    if (now < m_nextTick)
        return;
    expireRequests(now);
    estimateDemand(now);
    reportLots(false, now, out);
    requestTokens(now, out);
    const bool active = std::ranges::any_of(m_accounts, [](const account &customer) {
        return !customer.lots.empty() || customer.pendingRequests > 0 || customer.demand > 0;
    });
    m_nextExchange = now + m_options.exchangeInterval;
    m_nextTick = active ? m_nextExchange : time_point::max();
}

void token_pool::returnAll(time_point now, std::vector<send_peer> &out)
{
    reportLots(true, now, out);
}

void token_pool::chargeBudget(account &customer, double messages, double amounts)
{
    const double bytes = messages * bytesPerMessage + amounts * bytesPerAmount;
    m_bytesUsed += bytes;
    const double shared = std::min(std::max(m_sharedByteBudget, 0.0), bytes);
    m_sharedByteBudget -= shared;
    customer.remainingBytes -= bytes - shared;
}

void token_pool::refillBudget(double elapsed)
{
    // Each active customer has an equal part of the budget, so that excessive demand of one
    // customer does not stop token requests for the others. Unused budget goes to a shared pool.
    const double perSecond = static_cast<double>(m_options.bytesPerSecond);
    const double active = static_cast<double>(std::ranges::count_if(
            m_accounts, [](const account &customer) { return customer.demand > 0; }));
    m_bytesPerCustomerPerSecond = perSecond / std::max(active, 1.0);
    double refill = perSecond * elapsed;
    for (account &customer : m_accounts) {
        if (customer.demand <= 0)
            continue;
        const double added = std::clamp(m_bytesPerCustomerPerSecond - customer.remainingBytes, 0.0,
                                        m_bytesPerCustomerPerSecond * elapsed);
        customer.remainingBytes += added;
        refill -= added;
    }
    m_sharedByteBudget = std::min(m_sharedByteBudget + refill, perSecond);
}

void token_pool::estimateDemand(time_point now)
{
    if (m_lastEstimate == time_point::min() || now <= m_lastEstimate)
        return;
    const double elapsed = seconds(now - m_lastEstimate);
    // A node that takes tokens from its own slots makes no exchanges, so the last estimate may be
    // old. The arrivals are averaged over the time since then.
    const double decay = std::exp(-elapsed / seconds(demandWindow));
    for (account &customer : m_accounts) {
        customer.demand = customer.demand * decay
                          + static_cast<double>(customer.arrivals) / elapsed * (1 - decay);
        customer.arrivals = 0;
        if (customer.demand < minPrefetchDemand / 100)
            customer.demand = 0;
    }
    m_lastEstimate = now;
    refillBudget(elapsed);
}

micro_tokens token_pool::tokensToRequest(const account &customer, time_point now) const
{
    const double ahead = customer.demand < minPrefetchDemand
                                 ? 0
                                 : customer.demand * 2 * seconds(m_options.exchangeInterval);
    const micro_tokens needed = static_cast<micro_tokens>(ahead * microTokensPerRequest)
                                + customer.missingTokens - spendable(customer, now);
    const micro_tokens local = m_local == nullptr ? 0 : m_local->available(customer.name, now);
    return std::min(needed - local, customer.burst);
}

void token_pool::expireRequests(time_point now)
{
    std::erase_if(m_pending, [this, now](const pending_request &request) {
        if (request.sentAt + m_options.responseTimeout > now)
            return false;
        if (const std::optional<std::uint32_t> holder = holderIndex(request.holder)) {
            holder_state &state = m_holders[*holder];
            const duration pause =
                    m_options.responseTimeout * (1U << std::min(state.missedResponses, 8U));
            state.nextRequestAt = now + std::min(pause, maxUnresponsiveDelay);
            ++state.missedResponses;
        }
        for (const auto &[index, amount] : request.wanted)
            --m_accounts[index].pendingRequests;
        return true;
    });
}

void token_pool::requestTokens(time_point now, std::vector<send_peer> &out)
{
    std::vector<wanted_amounts> perHolder(m_holders.size());
    for (std::uint32_t index = 0; index < m_accounts.size(); ++index) {
        account &customer = m_accounts[index];
        const micro_tokens needed = tokensToRequest(customer, now);
        customer.requestedMissingTokens = std::exchange(customer.missingTokens, 0);
        if (needed > 0 && canRequestTokens(customer, now))
            distributeRequest(index, needed, now, perHolder);
    }
    bool requested = false;
    for (std::size_t holder = 0; holder < perHolder.size(); ++holder) {
        if (perHolder[holder].empty())
            continue;
        addUnderGrantedCustomers(holder, now, perHolder[holder]);
        sendRequest(holder, std::move(perHolder[holder]), now, out);
        requested = true;
    }
    if (requested)
        ++m_nextHolder;
}

std::size_t token_pool::holderInOrder(std::size_t step) const
{
    // Holders in this node's zone come first. Within the zone and outside it, the starting point
    // rotates.
    if (step < m_localHolderCount)
        return (m_nextHolder + step) % m_localHolderCount;
    const std::size_t remoteHolders = m_holders.size() - m_localHolderCount;
    return m_localHolderCount + (m_nextHolder + step - m_localHolderCount) % remoteHolders;
}

void token_pool::addUnderGrantedCustomers(std::size_t holder, time_point now,
                                          wanted_amounts &wantedAmounts) const
{
    // Adding a name and an amount to a message that is sent anyway costs little. So tokens are also
    // requested in advance for customers whose last grant was too small, together for all of them.
    for (std::uint32_t index = 0; index < m_accounts.size(); ++index) {
        const account &customer = m_accounts[index];
        const auto listed =
                std::ranges::find(wantedAmounts, index, &wanted_amounts::value_type::first);
        if (!customer.wasUnderGranted || customer.remainingBytes > m_bytesPerCustomerPerSecond / 2
            || !canRequestFrom(customer, holder, now))
            continue;
        const micro_tokens needed =
                static_cast<micro_tokens>(customer.demand * seconds(underGrantedHorizon)
                                          * microTokensPerRequest)
                - spendable(customer, now);
        if (listed != wantedAmounts.end())
            listed->second = std::max(listed->second, needed);
        else if (needed > 0)
            wantedAmounts.emplace_back(index, needed);
    }
}

void token_pool::distributeRequest(std::uint32_t index, micro_tokens needed, time_point now,
                                   std::vector<wanted_amounts> &perHolder)
{
    // A holder has at most its share of the burst, so a larger amount is requested from several
    // holders at once.
    const account &customer = m_accounts[index];
    const std::size_t holders = m_holders.size();
    const micro_tokens perSlot = std::max<micro_tokens>(
            customer.burst / static_cast<micro_tokens>(holderCount(customer)), 1);
    const std::size_t minHolders =
            customer.requestedMissingTokens > 0 ? m_options.holdersAskedWhileWaiting : 1;
    std::size_t askedHolders = 0;
    micro_tokens remaining = needed;
    for (std::size_t step = 0; step < holders && (remaining > 0 || askedHolders < minHolders);
         ++step) {
        // Holders in other zones are asked only for what those in this node's zone cannot have.
        if (step == m_localHolderCount && askedHolders > 0 && remaining <= 0)
            break;
        const std::size_t holder = holderInOrder(step);
        if (!canRequestFrom(customer, holder, now))
            continue;
        perHolder[holder].emplace_back(index, std::max(remaining, microTokensPerRequest));
        remaining -= perSlot;
        ++askedHolders;
    }
}

void token_pool::sendRequest(std::size_t holder, wanted_amounts wantedAmounts, time_point now,
                             std::vector<send_peer> &out)
{
    token_request message;
    message.sequence = m_nextSequence++;
    for (const auto &[index, amount] : wantedAmounts) {
        account &customer = m_accounts[index];
        message.wanted.push_back({customer.name, amount});
        ++customer.pendingRequests;
        customer.lastRequestAt = now;
        customer.backoffs.resize(m_holders.size());
        customer.backoffs[holder].nextRequestAt = now + m_options.responseTimeout;
        // The response costs as much again.
        chargeBudget(customer, 2 / static_cast<double>(wantedAmounts.size()), 2);
    }
    const node_ref &node = m_holders[holder].node;
    m_pending.push_back({message.sequence, node, now, std::move(wantedAmounts)});
    out.push_back({node.name, node.incarnation, std::move(message)});
}

void token_pool::reportLots(bool all, time_point now, std::vector<send_peer> &out)
{
    std::vector<lot_report> rows;
    for (account &customer : m_accounts)
        collectReports(customer, all, now, rows);
    sendReports(rows, out);
}

void token_pool::collectReports(account &customer, bool all, time_point now,
                                std::vector<lot_report> &rows)
{
    const bool idle = all || customer.demand < minPrefetchDemand;
    std::erase_if(customer.lots, [&](token_lot &lot) {
        if (lot.until <= now)
            return true;
        const bool final = lot.remaining == 0 || idle || lot.until - now < returnBeforeExpiry;
        const micro_tokens spent = lot.granted - lot.remaining;
        // A holder can mint replacements once tokens are reported spent, so a report is sent when
        // half of a lot has been spent.
        if (!final && spent - lot.reportedSpent < lot.granted / 2)
            return false;
        lot.reportedSpent = spent;
        rows.push_back({lot.holder, lot.grant, &customer, spent, final ? lot.remaining : 0});
        return final;
    });
}

void token_pool::sendReports(std::vector<lot_report> &rows, std::vector<send_peer> &out)
{
    std::ranges::sort(rows, [](const lot_report &one, const lot_report &other) {
        return std::tie(one.holder, one.grant) < std::tie(other.holder, other.grant);
    });
    token_report message;
    for (std::size_t row = 0; row < rows.size(); ++row) {
        const lot_report &current = rows[row];
        message.grant = current.grant;
        chargeBudget(*current.customer, message.spent.empty() && message.returned.empty() ? 1 : 0,
                     (current.spent > 0 ? 1 : 0) + (current.returned > 0 ? 1 : 0));
        if (current.spent > 0)
            message.spent.push_back({current.customer->name, current.spent});
        if (current.returned > 0)
            message.returned.push_back({current.customer->name, current.returned});
        if (row + 1 < rows.size() && rows[row + 1].grant == current.grant
            && rows[row + 1].holder == current.holder)
            continue;
        out.push_back({current.holder.name, current.holder.incarnation, std::move(message)});
        message = {};
    }
}

} // namespace tamarackridge
