// The exchanges of token_pool with slot holders: demand, requests and reports.
#include "tamarackridge/src/quota/token_pool.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tamarackridge {
namespace {

// Estimated size on the wire: envelope and fixed fields, and one name with an amount.
constexpr double bytesPerMessage = 40;
constexpr double bytesPerAmount = 12;

// What a slot holder may spend on the exchanges of all nodes together.
constexpr std::size_t holderBytesPerSecond = 8000;

// Below this demand a node holds no tokens ahead and asks for each request.
constexpr double idleDemand = 1.0;
constexpr duration demandWindow = std::chrono::milliseconds(500);
// How far ahead of demand a customer asks after an answer that was too small.
constexpr duration shortHorizon = std::chrono::milliseconds(500);
// Tokens that lapse this soon are returned rather than spent.
constexpr duration returnBeforeLapse = std::chrono::milliseconds(300);
constexpr duration maxMissingPause = std::chrono::seconds(5);

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

pool_options pool_options::forFleet(std::size_t nodes, std::size_t slots)
{
    pool_options options;
    const std::size_t most = std::max<std::size_t>(nodes, 1);
    options.bytesPerSecond = std::min(
            options.bytesPerSecond, static_cast<std::int64_t>(holderBytesPerSecond * slots / most));
    return options;
}

void token_pool::tick(time_point now, std::vector<send_peer> &out)
{
    if (now < m_nextTick)
        return;
    lapseRequests(now);
    estimateDemand(now);
    report(false, now, out);
    request(now, out);
    const bool active = std::ranges::any_of(m_accounts, [](const account &customer) {
        return !customer.lots.empty() || customer.asked > 0 || customer.demand > 0;
    });
    m_nextExchange = now + m_options.exchangeInterval;
    m_nextTick = active ? m_nextExchange : time_point::max();
}

void token_pool::returnAll(time_point now, std::vector<send_peer> &out)
{
    report(true, now, out);
}

void token_pool::charge(account &customer, double messages, double amounts)
{
    const double bytes = messages * bytesPerMessage + amounts * bytesPerAmount;
    m_bytesUsed += bytes;
    const double shared = std::min(std::max(m_sharedBytes, 0.0), bytes);
    m_sharedBytes -= shared;
    customer.bytesLeft -= bytes - shared;
}

void token_pool::refillBudget(double elapsed)
{
    // Each active customer has an equal part of the budget, so that one customer's excessive
    // demand does not silence the others. What a customer leaves unused is shared.
    const double perSecond = static_cast<double>(m_options.bytesPerSecond);
    const double active = static_cast<double>(std::ranges::count_if(
            m_accounts, [](const account &customer) { return customer.demand > 0; }));
    m_bytesPerCustomer = perSecond / std::max(active, 1.0);
    double refill = perSecond * elapsed;
    for (account &customer : m_accounts) {
        if (customer.demand <= 0)
            continue;
        const double added = std::clamp(m_bytesPerCustomer - customer.bytesLeft, 0.0,
                                        m_bytesPerCustomer * elapsed);
        customer.bytesLeft += added;
        refill -= added;
    }
    m_sharedBytes = std::min(m_sharedBytes + refill, perSecond);
}

void token_pool::estimateDemand(time_point now)
{
    if (m_lastEstimate == time_point::min() || now <= m_lastEstimate)
        return;
    const double elapsed = seconds(now - m_lastEstimate);
    // A node that draws on its own slots makes no exchanges, so the time since the last estimate
    // may be long; the arrivals are spread over it.
    const double keep = std::exp(-elapsed / seconds(demandWindow));
    for (account &customer : m_accounts) {
        customer.demand = customer.demand * keep
                          + static_cast<double>(customer.arrivals) / elapsed * (1 - keep);
        customer.arrivals = 0;
        if (customer.demand < idleDemand / 100)
            customer.demand = 0;
    }
    m_lastEstimate = now;
    refillBudget(elapsed);
}

micro_tokens token_pool::wanted(const account &customer, time_point now) const
{
    const double ahead = customer.demand < idleDemand
                                 ? 0
                                 : customer.demand * 2 * seconds(m_options.exchangeInterval);
    const micro_tokens want = static_cast<micro_tokens>(ahead * microTokensPerRequest)
                              + customer.unmet - spendable(customer, now);
    const micro_tokens local = m_local == nullptr ? 0 : m_local->available(customer.name, now);
    return std::min(want - local, customer.burst);
}

void token_pool::lapseRequests(time_point now)
{
    std::erase_if(m_pending, [this, now](const pending_request &request) {
        if (request.sentAt + m_options.responseTimeout > now)
            return false;
        if (const std::optional<std::uint32_t> holder = holderIndex(request.holder)) {
            holder_state &state = m_holders[*holder];
            const duration pause = m_options.responseTimeout * (1U << std::min(state.missing, 8U));
            state.askAgainAt = now + std::min(pause, maxMissingPause);
            ++state.missing;
        }
        for (const auto &[index, amount] : request.wanted)
            --m_accounts[index].asked;
        return true;
    });
}

void token_pool::request(time_point now, std::vector<send_peer> &out)
{
    std::vector<want_list> perHolder(m_holders.size());
    for (std::uint32_t index = 0; index < m_accounts.size(); ++index) {
        account &customer = m_accounts[index];
        const micro_tokens want = wanted(customer, now);
        customer.unmetAsked = std::exchange(customer.unmet, 0);
        if (want > 0 && mayAsk(customer, now))
            spreadWant(index, want, now, perHolder);
    }
    bool asked = false;
    for (std::size_t holder = 0; holder < perHolder.size(); ++holder) {
        if (perHolder[holder].empty())
            continue;
        addShortCustomers(holder, now, perHolder[holder]);
        send(holder, std::move(perHolder[holder]), now, out);
        asked = true;
    }
    if (asked)
        ++m_nextHolder;
}

std::size_t token_pool::holderAt(std::size_t step) const
{
    // Own zone first, and from another holder each time within the zone and outside of it.
    if (step < m_holdersInZone)
        return (m_nextHolder + step) % m_holdersInZone;
    const std::size_t others = m_holders.size() - m_holdersInZone;
    return m_holdersInZone + (m_nextHolder + step - m_holdersInZone) % others;
}

void token_pool::addShortCustomers(std::size_t holder, time_point now, want_list &wants) const
{
    // A name and amount in a message that is sent anyway cost little, so that customers that were
    // short ask for more ahead, and visit the holders together.
    for (std::uint32_t index = 0; index < m_accounts.size(); ++index) {
        const account &customer = m_accounts[index];
        const auto listed = std::ranges::find(wants, index, &want_list::value_type::first);
        if (!customer.isShort || customer.bytesLeft > m_bytesPerCustomer / 2
            || !canAsk(customer, holder, now))
            continue;
        const micro_tokens want = static_cast<micro_tokens>(customer.demand * seconds(shortHorizon)
                                                            * microTokensPerRequest)
                                  - spendable(customer, now);
        if (listed != wants.end())
            listed->second = std::max(listed->second, want);
        else if (want > 0)
            wants.emplace_back(index, want);
    }
}

void token_pool::spreadWant(std::uint32_t index, micro_tokens want, time_point now,
                            std::vector<want_list> &perHolder)
{
    // A holder has at most its part of the burst, so a larger want goes to several at once.
    const account &customer = m_accounts[index];
    const std::size_t holders = m_holders.size();
    const micro_tokens perSlot = std::max<micro_tokens>(
            customer.burst / static_cast<micro_tokens>(holderCount(customer)), 1);
    const std::size_t ask = customer.unmetAsked > 0 ? m_options.holdersAskedWhileWaiting : 1;
    std::size_t asked = 0;
    micro_tokens left = want;
    for (std::size_t step = 0; step < holders && (left > 0 || asked < ask); ++step) {
        // Other zones are asked for what the own zone cannot have.
        if (step == m_holdersInZone && asked > 0 && left <= 0)
            break;
        const std::size_t holder = holderAt(step);
        if (!canAsk(customer, holder, now))
            continue;
        perHolder[holder].emplace_back(index, std::max(left, microTokensPerRequest));
        left -= perSlot;
        ++asked;
    }
}

void token_pool::send(std::size_t holder, want_list wants, time_point now,
                      std::vector<send_peer> &out)
{
    token_request message;
    message.sequence = m_nextSequence++;
    for (const auto &[index, amount] : wants) {
        account &customer = m_accounts[index];
        message.wanted.push_back({customer.name, amount});
        ++customer.asked;
        customer.askedAt = now;
        customer.pauses.resize(m_holders.size());
        customer.pauses[holder].askAgainAt = now + m_options.responseTimeout;
        // The answer costs as much again.
        charge(customer, 2 / static_cast<double>(wants.size()), 2);
    }
    const node_ref &node = m_holders[holder].node;
    m_pending.push_back({message.sequence, node, now, std::move(wants)});
    out.push_back({node.name, node.incarnation, std::move(message)});
}

void token_pool::report(bool all, time_point now, std::vector<send_peer> &out)
{
    std::vector<lot_report> rows;
    for (account &customer : m_accounts)
        collectReports(customer, all, now, rows);
    sendReports(rows, out);
}

void token_pool::collectReports(account &customer, bool all, time_point now,
                                std::vector<lot_report> &rows)
{
    const bool idle = all || customer.demand < idleDemand;
    std::erase_if(customer.lots, [&](token_lot &lot) {
        if (lot.until <= now)
            return true;
        const bool final = lot.left == 0 || idle || lot.until - now < returnBeforeLapse;
        const micro_tokens spent = lot.granted - lot.left;
        // Holders mint again once tokens are reported spent, so half a lot is worth a message.
        if (!final && spent - lot.reported < lot.granted / 2)
            return false;
        lot.reported = spent;
        rows.push_back({lot.holder, lot.grant, &customer, spent, final ? lot.left : 0});
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
        charge(*current.customer, message.spent.empty() && message.returned.empty() ? 1 : 0,
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
