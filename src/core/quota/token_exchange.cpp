// The exchanges of token_pool with slot holders: demand, requests and reports.
#include "tamarackridge/src/quota/token_pool.h"

#include <algorithm>
#include <cmath>

namespace tamarackridge {
namespace {

// Estimated size on the wire: envelope and fixed fields, and one name with an amount.
constexpr std::int64_t bytes_per_message = 40;
constexpr std::int64_t bytes_per_amount = 12;

constexpr std::size_t max_amounts_per_message = 64;

// Below this demand a node holds no tokens ahead and asks for each request.
constexpr double idle_demand = 1.0;
constexpr duration demand_window = std::chrono::milliseconds(500);
constexpr duration min_urgent_gap = std::chrono::milliseconds(2);
// Tokens that lapse this soon are returned rather than spent.
constexpr duration return_before_lapse = std::chrono::milliseconds(300);
constexpr duration max_missing_pause = std::chrono::seconds(5);

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

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

void token_pool::charge(std::size_t messages, std::size_t amounts)
{
    const std::int64_t bytes = static_cast<std::int64_t>(messages) * bytes_per_message
                               + static_cast<std::int64_t>(amounts) * bytes_per_amount;
    m_bytesUsed += bytes;
    m_bytesLeft -= static_cast<double>(bytes);
}

void token_pool::estimateDemand(time_point now)
{
    if (m_lastEstimate == time_point::min())
        m_lastEstimate = now - m_options.exchangeInterval;
    const double elapsed = seconds(now - m_lastEstimate);
    const double perSecond = static_cast<double>(m_options.bytesPerSecond);
    m_bytesLeft = std::min(m_bytesLeft + perSecond * elapsed, perSecond);
    m_lastEstimate = now;
    const double keep = std::exp(-elapsed / seconds(demand_window));
    for (account &customer : m_accounts) {
        customer.demand = customer.demand * keep
                          + static_cast<double>(customer.arrivals) / seconds(demand_window);
        customer.arrivals = 0;
        if (customer.demand < idle_demand / 100)
            customer.demand = 0;
    }
}

micro_tokens token_pool::wanted(const account &customer, time_point now) const
{
    const double ahead = customer.demand < idle_demand
                                 ? 0
                                 : customer.demand * 2 * seconds(m_options.exchangeInterval);
    const micro_tokens want = static_cast<micro_tokens>(ahead * tokens_per_request) + customer.unmet
                              - spendable(customer, now);
    const micro_tokens local = m_local == nullptr ? 0 : m_local->available(customer.name, now);
    return std::min(want - local, customer.burst);
}

void token_pool::lapseRequests(time_point now)
{
    std::erase_if(m_pending, [this, now](const pending_request &request) {
        if (request.sentAt + m_options.answerTimeout > now)
            return false;
        if (const std::optional<std::uint32_t> holder = holderIndex(request.holder)) {
            holder_state &state = m_holders[*holder];
            const duration pause = m_options.answerTimeout * (1U << std::min(state.missing, 8U));
            state.askAgainAt = now + std::min(pause, max_missing_pause);
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
        customer.unmet = 0;
        if (want > 0 && customer.asked == 0)
            spreadWant(index, want, now, perHolder);
    }
    bool asked = false;
    for (std::size_t holder = 0; holder < perHolder.size(); ++holder) {
        if (perHolder[holder].empty())
            continue;
        send(holder, std::move(perHolder[holder]), now, out);
        asked = true;
    }
    if (asked)
        ++m_nextHolder;
}

void token_pool::spreadWant(std::uint32_t index, micro_tokens want, time_point now,
                            std::vector<want_list> &perHolder)
{
    // A holder has at most its part of the burst, so a larger want goes to several at once.
    const account &customer = m_accounts[index];
    const std::size_t holders = m_holders.size();
    const micro_tokens perSlot = std::max<micro_tokens>(
            customer.burst / static_cast<micro_tokens>(std::max<std::size_t>(holders, 1)), 1);
    micro_tokens left = want;
    for (std::size_t step = 0; step < holders && left > 0; ++step) {
        const std::size_t holder = (m_nextHolder + step) % holders;
        if (!canAsk(customer, holder, now))
            continue;
        perHolder[holder].emplace_back(index, std::min(left, want));
        left -= perSlot;
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
    }
    // The answer and the report cost as much again.
    charge(3, 3 * wants.size());
    const node_ref &node = m_holders[holder].node;
    m_pending.push_back({message.sequence, node, now, std::move(wants)});
    out.push_back({node.name, node.life, std::move(message)});
}

void token_pool::report(bool all, time_point now, std::vector<send_peer> &out)
{
    for (account &customer : m_accounts) {
        const bool idle = all || customer.demand < idle_demand;
        std::erase_if(customer.lots, [&](token_lot &lot) {
            if (lot.until <= now)
                return true;
            const bool final = lot.left == 0 || idle || lot.until - now < return_before_lapse;
            const micro_tokens spent = lot.granted - lot.left;
            if (!final && spent - lot.reported < lot.granted / 2)
                return false;
            lot.reported = spent;
            token_report message;
            message.grant = lot.grant;
            message.spent.push_back({customer.name, spent});
            if (final && lot.left > 0)
                message.returned.push_back({customer.name, lot.left});
            out.push_back({lot.holder.name, lot.holder.life, std::move(message)});
            return final;
        });
    }
}

} // namespace tamarackridge
