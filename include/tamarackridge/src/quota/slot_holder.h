#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/quota/customer_rate.h"
#include "tamarackridge/src/quota/slot_tenure.h"

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Mints the tokens of the slots that this node holds.
///
/// For each customer, the tokens in the bucket plus those in outstanding grants never exceed the
/// held slots' share of the burst. Buckets start empty. A slot stops minting one grant lease before
/// its own lease ends, so that no granted token can be spent after the slot has passed to another
/// node.
///
/// \code
/// holder.setCustomers(customers, now);
/// holder.setSlots(tenure.held(now), now);
/// token_grant grant = holder.grant(sender, request, now);
/// \endcode
class slot_holder
{
public:
    /// \param random source of the first grant number, so that a report addressed to an earlier
    /// incarnation of this node matches no grant of this one.
    /// \param grantLease period in which a node may spend granted tokens.
    explicit slot_holder(random_source &random, duration grantLease = std::chrono::seconds(2));

    /// \brief Sets the rates and bursts. A lowered rate or burst takes effect immediately.
    void setCustomers(std::span<const customer_rate> customers, time_point now);
    /// \brief Sets the slots that this node holds. Each stops minting by itself before its lease
    /// ends.
    void setSlots(std::span<const held_slot> slots, time_point now);

    /// \brief Grants \a requester as many of the requested tokens as are available and debits them.
    token_grant grant(const node_ref &requester, const token_request &request, time_point now);
    /// \brief Records reported tokens as spent and puts returned tokens back into the bucket.
    /// Amounts are totals since the grant, so repeated and reordered reports have no further
    /// effect.
    void onReport(const node_ref &from, const token_report &report, time_point now);

    /// \brief Takes tokens for a request that this node admits now. The tokens are recorded as
    /// spent.
    /// \returns true if all of \a amount was taken, false if nothing was taken.
    bool take(std::string_view customer, micro_tokens amount, time_point now);
    /// \returns the number of tokens that take() can take now.
    micro_tokens available(std::string_view customer, time_point now);

    /// \returns the time until the last outstanding grant expires, for slot_tenure::release().
    duration remainingGrantLease(time_point now) const;
    /// \returns the number of tokens in the bucket and in outstanding grants.
    micro_tokens totalTokens(std::string_view customer, time_point now);
    std::size_t outstandingGrants() const { return m_grants.size(); }

private:
    struct bucket
    {
        micro_tokens rate = 0;
        micro_tokens burst = 0;
        micro_tokens tokens = 0;
        micro_tokens outstanding = 0;
        double mintedUpTo = 0; ///< Value of m_shareSeconds up to which tokens were minted.
    };
    struct granted_amount
    {
        std::uint32_t customer = 0;
        micro_tokens granted = 0;
        micro_tokens spent = 0;
        micro_tokens returned = 0;
    };
    struct outstanding_grant
    {
        std::uint64_t number = 0;
        node_ref requester;
        time_point expiresAt;
        std::vector<granted_amount> amounts;
    };
    struct minting_slot
    {
        double share = 0;
        time_point until;
    };

    std::uint32_t bucketIndexFor(const std::string &customer);
    void removeUnusedBuckets();
    void advance(time_point now);
    void mint(bucket &account);
    void integrateShare(time_point now);
    static bool isFullyReported(const outstanding_grant &record);
    void expire(const outstanding_grant &record);
    void recordReported(granted_amount &amount, micro_tokens spent, micro_tokens returned);
    bucket *findBucket(std::string_view customer);
    micro_tokens maxTokens(const bucket &account) const;
    granted_amount *findAmount(outstanding_grant &record, std::string_view customer);

    duration m_grantLease;
    internal::name_map<std::uint32_t> m_index;
    std::vector<bucket> m_buckets;
    std::vector<std::uint32_t> m_freeBuckets; ///< Buckets of removed customers.
    std::deque<outstanding_grant> m_grants; ///< Ordered by number and by expiry.
    std::vector<minting_slot> m_slots;
    std::uint64_t m_nextGrant;
    time_point m_now = time_point::min();
    double m_shareSeconds = 0; ///< Integral over time of the share that minted, in seconds.
    double m_mintingShare = 0; ///< Sum of the shares of the slots that mint now.
};

} // namespace tamarackridge
