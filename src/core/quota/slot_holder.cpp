#include "tamarackridge/src/quota/slot_holder.h"

#include <algorithm>
#include <cmath>

namespace tamarackridge {
namespace {

// Reduces the minted amount so that a fast clock does not mint more than the rate.
constexpr double mintingFactor = 1.0 - static_cast<double>(internal::maxClockErrorPerMille) / 1000;

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

slot_holder::slot_holder(random_source &random, duration grantLease)
    : m_grantLease(grantLease)
    , m_nextGrant((random.next() >> 1U) + 1)
{ }

void slot_holder::setCustomers(std::span<const customer_rate> customers, time_point now)
{
    advance(now);
    for (bucket &account : m_buckets) {
        mint(account);
        account.rate = 0;
        account.burst = 0;
    }
    for (const customer_rate &customer : customers) {
        bucket &account = m_buckets[bucketIndexFor(customer.name)];
        account.rate = customer.rate;
        account.burst = customer.burst;
    }
    for (bucket &account : m_buckets)
        mint(account);
    removeUnusedBuckets();
}

std::uint32_t slot_holder::bucketIndexFor(const std::string &customer)
{
    const auto found = m_index.find(customer);
    if (found != m_index.end())
        return found->second;
    std::uint32_t index = 0;
    if (m_freeBuckets.empty()) {
        index = static_cast<std::uint32_t>(m_buckets.size());
        m_buckets.emplace_back();
    } else {
        index = m_freeBuckets.back();
        m_freeBuckets.pop_back();
    }
    m_buckets[index] = bucket{};
    m_buckets[index].mintedUpTo = m_shareSeconds;
    m_index.emplace(customer, index);
    return index;
}

void slot_holder::removeUnusedBuckets()
{
    for (auto entry = m_index.begin(); entry != m_index.end();) {
        const bucket &account = m_buckets[entry->second];
        if (account.rate != 0 || account.burst != 0 || account.outstanding != 0) {
            ++entry;
            continue;
        }
        m_freeBuckets.push_back(entry->second);
        entry = m_index.erase(entry);
    }
}

void slot_holder::setSlots(std::span<const held_slot> slots, time_point now)
{
    advance(now);
    // Tokens due so far are minted with the previous share before the share changes.
    for (bucket &account : m_buckets)
        mint(account);
    m_slots.clear();
    for (const held_slot &slot : slots) {
        m_slots.push_back({1.0 / std::max(slot.slotsInFleet, 1U),
                           slot.until - internal::extendForClockError(m_grantLease)});
    }
    advance(now);
    for (bucket &account : m_buckets)
        mint(account);
}

void slot_holder::advance(time_point now)
{
    // Each grant expires at its own time: it limits the tokens minted before its expiry, but not
    // those minted afterwards.
    while (!m_grants.empty()) {
        const outstanding_grant &first = m_grants.front();
        if (!isFullyReported(first)) {
            if (first.expiresAt > now)
                break;
            integrateShare(first.expiresAt);
            expire(first);
        }
        m_grants.pop_front();
    }
    integrateShare(now);
}

void slot_holder::integrateShare(time_point now)
{
    if (now < m_now)
        return;
    m_mintingShare = 0;
    for (const minting_slot &slot : m_slots) {
        const time_point end = std::min(now, slot.until);
        if (end > m_now)
            m_shareSeconds += slot.share * seconds(end - m_now);
        if (slot.until > now)
            m_mintingShare += slot.share;
    }
    m_now = now;
}

bool slot_holder::isFullyReported(const outstanding_grant &record)
{
    return std::ranges::all_of(record.amounts, [](const granted_amount &amount) {
        return amount.spent + amount.returned == amount.granted;
    });
}

void slot_holder::expire(const outstanding_grant &record)
{
    for (const granted_amount &amount : record.amounts) {
        bucket &account = m_buckets[amount.customer];
        mint(account);
        account.outstanding -= amount.granted - amount.spent - amount.returned;
    }
}

micro_tokens slot_holder::maxTokens(const bucket &account) const
{
    return static_cast<micro_tokens>(static_cast<double>(account.burst) * m_mintingShare);
}

void slot_holder::mint(bucket &account)
{
    const micro_tokens room = maxTokens(account) - account.tokens - account.outstanding;
    if (room <= 0) {
        account.tokens = std::max<micro_tokens>(0, account.tokens + room);
        account.mintedUpTo = m_shareSeconds;
        return;
    }
    const double perSecond = static_cast<double>(account.rate) * mintingFactor;
    const double due = perSecond * (m_shareSeconds - account.mintedUpTo);
    if (due >= static_cast<double>(room)) {
        account.tokens += room;
        account.mintedUpTo = m_shareSeconds;
        return;
    }
    // The remaining fraction of a micro-token stays due.
    const micro_tokens minted = static_cast<micro_tokens>(due);
    if (minted > 0) {
        account.tokens += minted;
        account.mintedUpTo += static_cast<double>(minted) / perSecond;
    }
}

slot_holder::bucket *slot_holder::findBucket(std::string_view customer)
{
    const auto found = m_index.find(customer);
    return found == m_index.end() ? nullptr : &m_buckets[found->second];
}

token_grant slot_holder::grant(const node_ref &requester, const token_request &request,
                               time_point now)
{
    advance(now);
    token_grant response;
    response.sequence = request.sequence;
    response.lease = m_grantLease;
    outstanding_grant record;
    for (const token_amount &wanted : request.wanted) {
        bucket *account = findBucket(wanted.customer);
        if (account == nullptr || wanted.amount <= 0)
            continue;
        mint(*account);
        const micro_tokens amount = std::min(wanted.amount, account->tokens);
        if (amount <= 0)
            continue;
        account->tokens -= amount;
        account->outstanding += amount;
        record.amounts.push_back(
                {static_cast<std::uint32_t>(account - m_buckets.data()), amount, 0, 0});
        response.granted.push_back({wanted.customer, amount});
    }
    if (response.granted.empty())
        return response;
    response.grant = m_nextGrant++;
    record.number = response.grant;
    record.requester = requester;
    record.expiresAt = now + internal::extendForClockError(m_grantLease);
    m_grants.push_back(std::move(record));
    return response;
}

void slot_holder::onReport(const node_ref &from, const token_report &report, time_point now)
{
    advance(now);
    if (m_grants.empty() || report.grant < m_grants.front().number
        || report.grant - m_grants.front().number >= m_grants.size())
        return;
    outstanding_grant &record = m_grants[report.grant - m_grants.front().number];
    if (record.requester != from)
        return;
    for (const token_amount &spent : report.spent) {
        if (granted_amount *amount = findAmount(record, spent.customer))
            recordReported(*amount, spent.amount, amount->returned);
    }
    for (const token_amount &returned : report.returned) {
        if (granted_amount *amount = findAmount(record, returned.customer))
            recordReported(*amount, amount->spent, returned.amount);
    }
}

slot_holder::granted_amount *slot_holder::findAmount(outstanding_grant &record,
                                                     std::string_view customer)
{
    const bucket *account = findBucket(customer);
    for (granted_amount &amount : record.amounts) {
        if (account == &m_buckets[amount.customer])
            return &amount;
    }
    return nullptr;
}

void slot_holder::recordReported(granted_amount &amount, micro_tokens spent, micro_tokens returned)
{
    bucket &account = m_buckets[amount.customer];
    const micro_tokens addedSpent =
            std::clamp(spent, amount.spent, amount.granted - amount.returned) - amount.spent;
    amount.spent += addedSpent;
    const micro_tokens addedReturned =
            std::clamp(returned, amount.returned, amount.granted - amount.spent) - amount.returned;
    amount.returned += addedReturned;
    // Mints the tokens due up to now first, so that the room freed by this report is not filled
    // retroactively.
    mint(account);
    account.outstanding -= addedSpent + addedReturned;
    account.tokens += addedReturned;
}

bool slot_holder::take(std::string_view customer, micro_tokens amount, time_point now)
{
    if (available(customer, now) < amount)
        return false;
    findBucket(customer)->tokens -= amount;
    return true;
}

micro_tokens slot_holder::available(std::string_view customer, time_point now)
{
    bucket *account = findBucket(customer);
    if (account == nullptr)
        return 0;
    advance(now);
    mint(*account);
    return account->tokens;
}

duration slot_holder::remainingGrantLease(time_point now) const
{
    return m_grants.empty() ? duration{} : std::max(duration{}, m_grants.back().expiresAt - now);
}

micro_tokens slot_holder::totalTokens(std::string_view customer, time_point now)
{
    const micro_tokens inBucket = available(customer, now);
    const bucket *account = findBucket(customer);
    return account == nullptr ? 0 : inBucket + account->outstanding;
}

} // namespace tamarackridge
