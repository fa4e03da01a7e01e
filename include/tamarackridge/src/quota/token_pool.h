#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/quota/customer_rate.h"
#include "tamarackridge/src/quota/slot_holder.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Pace of a node's exchanges with slot holders.
struct pool_options
{
    duration exchangeInterval = std::chrono::milliseconds(100);
    /// Bytes of requests, grants and reports that this node may cause.
    std::int64_t bytesPerSecond = 8000;
    duration responseTimeout = std::chrono::milliseconds(200);
    /// Longest pause before a holder that had too little is asked again.
    duration maxEmptyHolderDelay = std::chrono::seconds(1);
    /// Holders that are asked at once while a request waits. There is time for few attempts, since
    /// the answer of another zone takes most of its patience; several find tokens more often.
    std::size_t holdersAskedWhileWaiting = 3;

    /// \returns options that keep the holders inside their budget when every node asks.
    static pool_options forFleet(std::size_t nodes, std::size_t slots);
};

/// \brief Tokens at one node: spends them, and asks slot holders for more ahead of demand.
///
/// \code
/// if (!pool.trySpend(customer, now) && pool.expectsGrant(customer, now))
///     …; // the request may wait a few milliseconds
/// pool.tick(now, messages);
/// \endcode
class token_pool
{
public:
    /// \param local slots of this node, drawn from without messages; may be null.
    /// \param random draws the first sequence number, so that a grant to an earlier life of this
    /// node matches no request of this one.
    token_pool(node_ref self, pool_options options, slot_holder *local, random_source &random);

    /// \brief Installs the customers of the configuration; tokens of removed ones are dropped.
    void setCustomers(std::span<const customer_rate> customers);
    /// \brief Installs the holders to ask, own zone and others; this node itself is left out.
    void setHolders(std::span<const node_ref> holders);
    /// \brief Limits the holders that are asked for \a customer to those named in \a nodes, until
    /// the next setHolders(). Without a call every holder is asked.
    void setHoldersOf(std::string_view customer, std::span<const std::string> nodes);

    /// \brief Admits one request of \a customer, and counts it as demand. After a failure, tick()
    /// is due at once if holders can be asked.
    /// \returns true when a token was spent.
    bool trySpend(std::string_view customer, time_point now);
    /// \brief Like trySpend(), for a request that was counted before and has waited for a grant.
    bool retrySpend(std::string_view customer, time_point now);
    /// \returns whether a grant for \a customer may arrive within milliseconds.
    bool expectsGrant(std::string_view customer, time_point now) const;

    /// \brief Tokens from a holder; a grant that was not asked for or came before is dropped.
    void onGrant(const node_ref &from, const token_grant &grant, time_point now);

    /// \brief Appends requests and reports that are due.
    void tick(time_point now, std::vector<send_peer> &out);
    /// \returns when tick() is due next.
    time_point nextTick() const { return m_nextTick; }
    /// \brief Returns all unspent tokens, for a graceful shutdown.
    void returnAll(time_point now, std::vector<send_peer> &out);

    /// \returns the tokens of \a customer that may be spent at \a now.
    micro_tokens held(std::string_view customer, time_point now) const;
    /// \returns the estimated bytes of all messages sent and asked for.
    std::int64_t bytesUsed() const { return static_cast<std::int64_t>(m_bytesUsed); }

private:
    struct token_lot
    {
        std::uint64_t grant = 0;
        node_ref holder;
        micro_tokens granted = 0;
        micro_tokens left = 0;
        micro_tokens reported = 0; ///< Spent tokens that were reported.
        time_point until;
    };
    struct account;
    /// \brief State of one lot, to be reported to its holder.
    struct lot_report
    {
        node_ref holder;
        std::uint64_t grant = 0;
        account *customer = nullptr;
        micro_tokens spent = 0;
        micro_tokens returned = 0;
    };
    /// \brief A holder that had too little for a customer, or has not answered, is asked later.
    struct holder_pause
    {
        time_point askAgainAt = time_point::min();
        std::uint32_t empty = 0; ///< Answers with less than one request's tokens, in a row.
    };
    struct account
    {
        std::string name;
        micro_tokens rate = 0;
        micro_tokens burst = 0;
        std::vector<token_lot> lots;
        std::vector<holder_pause> pauses; ///< One per holder, once one was asked.
        /// Holders that mint for this customer, in ascending order; absent when all do.
        std::optional<std::vector<std::uint32_t>> minters;
        double bytesLeft = 0; ///< May ask while positive.
        std::int64_t arrivals = 0; ///< Requests since the last estimate.
        micro_tokens unmet = 0; ///< Tokens missing since the last request for tokens.
        double demand = 0; ///< Requests per second.
        micro_tokens unmetAsked = 0; ///< Part of the last want that was missing already.
        bool isShort = false; ///< The last answer was less than wanted.
        std::uint32_t asked = 0; ///< Unanswered requests that name this customer.
        time_point askedAt = time_point::min();
    };
    struct holder_state
    {
        node_ref node;
        std::uint32_t missing = 0; ///< Unanswered requests in a row.
        time_point askAgainAt = time_point::min();
    };
    /// \brief Accounts, by index, and the amounts wanted for them.
    using want_list = std::vector<std::pair<std::uint32_t, micro_tokens>>;
    struct pending_request
    {
        std::uint64_t sequence = 0;
        node_ref holder;
        time_point sentAt;
        want_list wanted;
    };

    account *find(std::string_view customer);
    const account *find(std::string_view customer) const;
    bool spend(account &customer, time_point now);
    void noteUnmet(account &customer, time_point now);
    micro_tokens spendable(const account &customer, time_point now) const;
    std::optional<std::uint32_t> holderIndex(const node_ref &node) const;
    bool canAsk(const account &customer, std::size_t holder, time_point now) const;
    std::size_t holderCount(const account &customer) const;
    /// \returns whether a request for tokens may be sent now.
    bool mayAsk(const account &customer, time_point now) const;
    duration drainedPause(const account &customer, std::uint32_t empty) const;
    void noteResponse(account &customer, std::optional<std::uint32_t> holder, micro_tokens wanted,
                      micro_tokens granted, time_point now);

    void estimateDemand(time_point now);
    micro_tokens wanted(const account &customer, time_point now) const;
    void lapseRequests(time_point now);
    void request(time_point now, std::vector<send_peer> &out);
    void addShortCustomers(std::size_t holder, time_point now, want_list &wants) const;
    void spreadWant(std::uint32_t index, micro_tokens want, time_point now,
                    std::vector<want_list> &perHolder);
    void send(std::size_t holder, want_list wants, time_point now, std::vector<send_peer> &out);
    std::size_t holderAt(std::size_t step) const;
    void report(bool all, time_point now, std::vector<send_peer> &out);
    void collectReports(account &customer, bool all, time_point now, std::vector<lot_report> &rows);
    void sendReports(std::vector<lot_report> &rows, std::vector<send_peer> &out);
    void refillBudget(double elapsed);
    void charge(account &customer, double messages, double amounts);

    node_ref m_self;
    pool_options m_options;
    slot_holder *m_local;
    internal::name_map<std::uint32_t> m_index;
    std::vector<account> m_accounts;
    std::vector<holder_state> m_holders; ///< Own zone first.
    std::size_t m_holdersInZone = 0;
    std::vector<pending_request> m_pending;
    std::uint64_t m_nextSequence;
    std::size_t m_nextHolder = 0;
    time_point m_nextTick = time_point::min();
    time_point m_nextExchange = time_point::min();
    time_point m_lastEstimate = time_point::min();
    double m_bytesUsed = 0;
    double m_bytesPerCustomer = 0; ///< Budget of each active customer per second.
    double m_sharedBytes = 0; ///< Budget that customers left unused.
};

} // namespace tamarackridge
