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
/// Per customer, the tokens in the bucket and in outstanding grants never exceed the held slots'
/// part of the burst. Buckets start empty. A slot is drained before its lease ends: it stops
/// minting one grant lease earlier, so that no granted token outlives the tenure.
///
/// \code
/// holder.setCustomers(customers, now);
/// holder.setSlots(tenure.held(now), now);
/// token_grant answer = holder.grant(sender, request, now);
/// \endcode
class slot_holder
{
public:
    /// \param random draws the first grant number, so that a report to an earlier life of this node
    /// matches no grant of this one.
    /// \param grantLease how long a node may spend granted tokens.
    explicit slot_holder(random_source &random, duration grantLease = std::chrono::seconds(2));

    /// \brief Installs rates and bursts. A lowered rate or burst takes effect at once.
    void setCustomers(std::span<const customer_rate> customers, time_point now);
    /// \brief Installs the slots held; each stops by itself at its end.
    void setSlots(std::span<const held_slot> slots, time_point now);

    /// \brief Debits and grants what is available of what \a requester wants.
    token_grant grant(const node_ref &requester, const token_request &request, time_point now);
    /// \brief Counts reported tokens as spent, or puts returned ones back. Amounts are totals since
    /// the grant, so that repeated and reordered reports are harmless.
    void onReport(const node_ref &from, const token_report &report, time_point now);

    /// \brief Takes tokens for a request that this node admits now; they count as spent.
    /// \returns true when all of \a amount was taken, false when nothing was.
    bool take(std::string_view customer, micro_tokens amount, time_point now);
    /// \returns the tokens that take() would find.
    micro_tokens available(std::string_view customer, time_point now);

    /// \returns how long granted tokens may still be spent elsewhere, for slot_tenure::release().
    duration remainingGrantLease(time_point now) const;
    /// \returns the tokens in the bucket and in outstanding grants.
    micro_tokens inExistence(std::string_view customer, time_point now);
    std::size_t outstandingGrants() const { return m_grants.size(); }

private:
    struct bucket
    {
        micro_tokens rate = 0;
        micro_tokens burst = 0;
        micro_tokens tokens = 0;
        micro_tokens outstanding = 0;
        double mintedTo = 0; ///< Value of the share integral up to which was minted.
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
        time_point lapsesAt;
        std::vector<granted_amount> amounts;
    };
    struct minting_slot
    {
        double share = 0;
        time_point until;
    };

    std::uint32_t indexFor(const std::string &customer);
    void freeUnused();
    void advance(time_point now);
    void mint(bucket &account);
    void integrate(time_point now);
    static bool settled(const outstanding_grant &record);
    void lapse(const outstanding_grant &record);
    void settle(granted_amount &amount, micro_tokens spent, micro_tokens returned);
    bucket *find(std::string_view customer);
    micro_tokens cap(const bucket &account) const;
    granted_amount *findAmount(outstanding_grant &record, std::string_view customer);

    duration m_grantLease;
    internal::name_map<std::uint32_t> m_index;
    std::vector<bucket> m_buckets;
    std::vector<std::uint32_t> m_free; ///< Buckets of removed customers.
    std::deque<outstanding_grant> m_grants; ///< Ordered by number and by lapse time.
    std::vector<minting_slot> m_slots;
    std::uint64_t m_nextGrant;
    time_point m_now = time_point::min();
    double m_shareTime = 0; ///< Integral of the held share over time, in seconds.
    double m_share = 0; ///< Share that is minting now.
};

} // namespace tamarackridge
