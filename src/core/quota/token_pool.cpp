#include "tamarackridge/src/quota/token_pool.h"

#include <algorithm>
#include <cmath>

namespace tamarackridge {
namespace {

// Time that a request waits for a grant, about as long as a holder in another zone takes to
// respond.
constexpr duration grantWaitTimeout = std::chrono::milliseconds(10);

} // namespace

token_pool::token_pool(node_ref self, pool_options options, slot_holder *local,
                       random_source &random)
    : m_self(std::move(self))
    , m_options(options)
    , m_local(local)
    , m_nextSequence((random.next() >> 1U) + 1)
{ }

void token_pool::setCustomers(std::span<const customer_rate> customers)
{
    if (std::ranges::equal(customers, m_accounts, {}, &customer_rate::name, &account::name)) {
        for (std::size_t index = 0; index < customers.size(); ++index) {
            m_accounts[index].rate = customers[index].rate;
            m_accounts[index].burst = customers[index].burst;
        }
        return;
    }
    std::vector<account> accounts;
    internal::name_map<std::uint32_t> index;
    for (const customer_rate &customer : customers) {
        account next;
        next.remainingBytes = static_cast<double>(m_options.bytesPerSecond)
                              / static_cast<double>(customers.size());
        if (account *known = findAccount(customer.name))
            next = std::move(*known);
        next.name = customer.name;
        next.rate = customer.rate;
        next.burst = customer.burst;
        index.emplace(customer.name, static_cast<std::uint32_t>(accounts.size()));
        accounts.push_back(std::move(next));
    }
    // Pending requests refer to accounts by index, which has changed; their grants are dropped and
    // expire.
    m_pending.clear();
    for (account &customer : accounts)
        customer.pendingRequests = 0;
    m_accounts = std::move(accounts);
    m_index = std::move(index);
}

void token_pool::setHolders(std::span<const node_ref> holders)
{
    std::vector<holder_state> next;
    for (const node_ref &node : holders) {
        if (node != m_self && std::ranges::none_of(next, [&node](const holder_state &known) {
                return known.node == node;
            }))
            next.push_back({node});
    }
    const auto firstRemote =
            std::stable_partition(next.begin(), next.end(), [this](const holder_state &holder) {
                return holder.node.zone == m_self.zone;
            });
    m_localHolderCount = static_cast<std::size_t>(firstRemote - next.begin());
    if (std::ranges::equal(next, m_holders, {}, &holder_state::node, &holder_state::node))
        return;
    m_holders = std::move(next);
    for (account &customer : m_accounts) {
        customer.backoffs.clear();
        customer.minters.reset();
    }
}

void token_pool::restrictHolders(std::string_view customer, std::span<const std::string> nodes)
{
    account *found = findAccount(customer);
    if (found == nullptr)
        return;
    std::vector<std::uint32_t> &minters = found->minters.emplace();
    for (std::uint32_t index = 0; index < m_holders.size(); ++index) {
        if (std::ranges::find(nodes, m_holders[index].node.name) != nodes.end())
            minters.push_back(index);
    }
}

std::size_t token_pool::holderCount(const account &customer) const
{
    return std::max<std::size_t>(customer.minters ? customer.minters->size() : m_holders.size(), 1);
}

token_pool::account *token_pool::findAccount(std::string_view customer)
{
    const auto found = m_index.find(customer);
    return found == m_index.end() ? nullptr : &m_accounts[found->second];
}

const token_pool::account *token_pool::findAccount(std::string_view customer) const
{
    const auto found = m_index.find(customer);
    return found == m_index.end() ? nullptr : &m_accounts[found->second];
}

bool token_pool::trySpend(std::string_view customer, time_point now)
{
    account *found = findAccount(customer);
    if (found == nullptr)
        return false;
    ++found->arrivals;
    if (m_lastEstimate == time_point::min())
        m_lastEstimate = now;
    if (spend(*found, now))
        return true;
    recordMissingToken(*found, now);
    return false;
}

bool token_pool::retrySpend(std::string_view customer, time_point now)
{
    account *found = findAccount(customer);
    return found != nullptr && spend(*found, now);
}

bool token_pool::spend(account &customer, time_point now)
{
    micro_tokens missing = microTokensPerRequest;
    for (const token_lot &lot : customer.lots) {
        if (lot.until > now)
            missing -= std::min(missing, lot.remaining);
    }
    if (missing > 0 && (m_local == nullptr || !m_local->take(customer.name, missing, now)))
        return false;
    micro_tokens fromLots = microTokensPerRequest - missing;
    for (token_lot &lot : customer.lots) {
        if (lot.until > now) {
            const micro_tokens used = std::min(fromLots, lot.remaining);
            lot.remaining -= used;
            fromLots -= used;
        }
    }
    return true;
}

void token_pool::recordMissingToken(account &customer, time_point now)
{
    customer.missingTokens += microTokensPerRequest;
    m_nextTick = std::min(m_nextTick, canRequestTokens(customer, now) ? now : m_nextExchange);
}

bool token_pool::expectsGrant(std::string_view customer, time_point now) const
{
    const account *found = findAccount(customer);
    if (found == nullptr)
        return false;
    if (found->pendingRequests > 0 && found->lastRequestAt + grantWaitTimeout > now)
        return true;
    return canRequestTokens(*found, now);
}

bool token_pool::canRequestTokens(const account &customer, time_point now) const
{
    const bool waiting =
            customer.pendingRequests > 0 && customer.lastRequestAt + grantWaitTimeout > now;
    if (waiting || (customer.remainingBytes <= 0 && m_sharedByteBudget <= 0))
        return false;
    for (std::size_t holder = 0; holder < m_holders.size(); ++holder) {
        if (canRequestFrom(customer, holder, now))
            return true;
    }
    return false;
}

micro_tokens token_pool::held(std::string_view customer, time_point now) const
{
    const account *found = findAccount(customer);
    return found == nullptr ? 0 : spendable(*found, now);
}

micro_tokens token_pool::spendable(const account &customer, time_point now) const
{
    micro_tokens sum = 0;
    for (const token_lot &lot : customer.lots)
        sum += lot.until > now ? lot.remaining : 0;
    return sum;
}

bool token_pool::canRequestFrom(const account &customer, std::size_t holder, time_point now) const
{
    if (customer.minters
        && !std::ranges::binary_search(*customer.minters, static_cast<std::uint32_t>(holder)))
        return false;
    return m_holders[holder].nextRequestAt <= now
           && (customer.backoffs.empty() || customer.backoffs[holder].nextRequestAt <= now);
}

void token_pool::onGrant(const node_ref &from, const token_grant &grant, time_point now)
{
    const auto pending = std::ranges::find_if(m_pending, [&](const pending_request &request) {
        return request.sequence == grant.sequence && request.holder == from;
    });
    if (pending == m_pending.end())
        return;
    const time_point until = pending->sentAt + internal::shortenForClockError(grant.lease);
    const std::optional<std::uint32_t> holder = holderIndex(from);
    if (holder)
        m_holders[*holder].missedResponses = 0;
    for (const auto &[index, wanted] : pending->wanted) {
        account &customer = m_accounts[index];
        --customer.pendingRequests;
        const auto amount =
                std::ranges::find(grant.granted, customer.name, &token_amount::customer);
        const micro_tokens granted = amount == grant.granted.end() ? 0 : amount->amount;
        if (granted > 0 && until > now)
            customer.lots.push_back({grant.grant, from, granted, granted, 0, until});
        recordGrantResult(customer, holder, wanted, granted, now);
    }
    m_pending.erase(pending);
}

void token_pool::recordGrantResult(account &customer, std::optional<std::uint32_t> holder,
                                   micro_tokens wanted, micro_tokens granted, time_point now)
{
    customer.wasUnderGranted = granted < wanted;
    customer.backoffs.resize(m_holders.size());
    if (!customer.wasUnderGranted) {
        if (holder)
            customer.backoffs[*holder] = {};
        return;
    }
    // The waiting requests still lack the tokens that the holder did not grant.
    customer.missingTokens = std::max(customer.missingTokens,
                                      std::min(wanted - granted, customer.requestedMissingTokens));
    if (holder) {
        holder_backoff &state = customer.backoffs[*holder];
        state.emptyResponses = granted < microTokensPerRequest ? state.emptyResponses + 1 : 0;
        state.nextRequestAt = now + emptyHolderDelay(customer, state.emptyResponses);
    }
    if (canRequestTokens(customer, now))
        m_nextTick = std::min(m_nextTick, now);
}

duration token_pool::emptyHolderDelay(const account &customer, std::uint32_t emptyResponses) const
{
    if (customer.rate <= 0)
        return m_options.maxEmptyHolderDelay;
    // Time in which a holder mints half of its share of the burst, but at least the tokens of one
    // request.
    const double holders = static_cast<double>(holderCount(customer));
    const double amount = std::max(static_cast<double>(customer.burst) / 2,
                                   holders * static_cast<double>(microTokensPerRequest));
    const double refill = amount / static_cast<double>(customer.rate);
    const std::chrono::duration<double> pause(refill * std::exp2(std::min(emptyResponses, 8U)));
    if (pause > m_options.maxEmptyHolderDelay)
        return m_options.maxEmptyHolderDelay;
    return std::max(std::chrono::duration_cast<duration>(pause), m_options.exchangeInterval);
}

std::optional<std::uint32_t> token_pool::holderIndex(const node_ref &node) const
{
    for (std::uint32_t index = 0; index < m_holders.size(); ++index) {
        if (m_holders[index].node == node)
            return index;
    }
    return std::nullopt;
}

} // namespace tamarackridge
