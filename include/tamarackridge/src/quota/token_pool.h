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

/// \brief Limits on a node's exchanges with slot holders.
struct pool_options
{
    duration exchangeInterval = std::chrono::milliseconds(100);
    /// Maximum bytes per second of the requests and reports that this node sends and of the grants
    /// that it receives in response.
    std::int64_t bytesPerSecond = 8000;
    duration responseTimeout = std::chrono::milliseconds(200);
    /// Maximum delay before tokens are requested again from a holder that granted less than
    /// requested.
    duration maxEmptyHolderDelay = std::chrono::seconds(1);
    /// Minimum number of holders that are asked in parallel while a request waits for a token. A
    /// response from another zone takes most of the time that a request may wait, so there is time
    /// for only a few attempts, and asking several holders at once finds tokens more often.
    std::size_t holdersAskedWhileWaiting = 3;

    /// \returns options that keep the traffic of each holder within its budget even if all nodes
    /// request tokens.
    static pool_options forFleet(std::size_t nodes, std::size_t slots);
};

/// \brief Holds one node's tokens: spends them on requests and requests more from slot holders
/// ahead of demand.
///
/// \code
/// if (!pool.trySpend(customer, now) && pool.expectsGrant(customer, now))
///     …; // the request may wait a few milliseconds
/// pool.tick(now, messages);
/// \endcode
class token_pool
{
public:
    /// \param local the slots that this node holds, from which it takes tokens without messages;
    /// may be null.
    /// \param random source of the first sequence number, so that a grant to an earlier incarnation
    /// of this node matches no request of this one.
    token_pool(node_ref self, pool_options options, slot_holder *local, random_source &random);

    /// \brief Sets the customers of the configuration. Tokens of removed customers are dropped.
    void setCustomers(std::span<const customer_rate> customers);
    /// \brief Sets the holders to request tokens from, in this node's zone and in other zones. This
    /// node itself is skipped.
    void setHolders(std::span<const node_ref> holders);
    /// \brief Restricts token requests for \a customer to the holders named in \a nodes, until
    /// setHolders() changes the holders. By default tokens are requested from every holder.
    void restrictHolders(std::string_view customer, std::span<const std::string> nodes);

    /// \brief Spends the token for one request of \a customer and counts the request as demand.
    /// After a failure, tick() is due immediately if tokens can be requested.
    /// \returns true if a token was spent.
    bool trySpend(std::string_view customer, time_point now);
    /// \brief Like trySpend(), for a request that trySpend() has counted already and that waited
    /// for a grant.
    bool retrySpend(std::string_view customer, time_point now);
    /// \returns whether a grant for \a customer may arrive within milliseconds.
    bool expectsGrant(std::string_view customer, time_point now) const;

    /// \brief Adds the tokens granted by a holder. A grant that was not requested or is a duplicate
    /// is dropped.
    void onGrant(const node_ref &from, const token_grant &grant, time_point now);

    /// \brief Appends the token requests and reports that are due to \a out.
    void tick(time_point now, std::vector<send_peer> &out);
    /// \returns when tick() is due next.
    time_point nextTick() const { return m_nextTick; }
    /// \brief Returns all unspent tokens to their holders, for a graceful shutdown.
    void returnAll(time_point now, std::vector<send_peer> &out);

    /// \returns the tokens of \a customer that may be spent at \a now.
    micro_tokens held(std::string_view customer, time_point now) const;
    /// \returns the estimated bytes of all messages sent and of the responses to them.
    std::int64_t bytesUsed() const { return static_cast<std::int64_t>(m_bytesUsed); }

private:
    struct token_lot
    {
        std::uint64_t grant = 0;
        node_ref holder;
        micro_tokens granted = 0;
        micro_tokens remaining = 0;
        micro_tokens reportedSpent = 0; ///< Spent tokens that have been reported to the holder.
        time_point until;
    };
    struct account;
    /// \brief The state of one lot, to be reported to its holder.
    struct lot_report
    {
        node_ref holder;
        std::uint64_t grant = 0;
        account *customer = nullptr;
        micro_tokens spent = 0;
        micro_tokens returned = 0;
    };
    /// \brief Delays requests for a customer to a holder that granted less than requested or has
    /// not responded.
    struct holder_backoff
    {
        time_point nextRequestAt = time_point::min();
        /// Consecutive responses with less than one request's tokens.
        std::uint32_t emptyResponses = 0;
    };
    struct account
    {
        std::string name;
        micro_tokens rate = 0;
        micro_tokens burst = 0;
        std::vector<token_lot> lots;
        std::vector<holder_backoff> backoffs; ///< One per holder; empty before the first request.
        /// Indices of the holders that mint for this customer, in ascending order; absent if all
        /// holders do.
        std::optional<std::vector<std::uint32_t>> minters;
        /// Remaining budget; tokens can be requested while this or the shared budget is positive.
        double remainingBytes = 0;
        std::int64_t arrivals = 0; ///< Requests since the last demand estimate.
        /// Tokens that were not available for requests since the last token request.
        micro_tokens missingTokens = 0;
        double demand = 0; ///< Requests per second.
        /// Missing tokens that the last token request included.
        micro_tokens requestedMissingTokens = 0;
        bool wasUnderGranted = false; ///< The last grant was less than requested.
        std::uint32_t pendingRequests = 0; ///< Pending token requests that name this customer.
        time_point lastRequestAt = time_point::min();
    };
    struct holder_state
    {
        node_ref node;
        std::uint32_t missedResponses = 0; ///< Consecutive requests without a response.
        time_point nextRequestAt = time_point::min();
    };
    /// \brief Indices of accounts and the amounts to request for them.
    using wanted_amounts = std::vector<std::pair<std::uint32_t, micro_tokens>>;
    struct pending_request
    {
        std::uint64_t sequence = 0;
        node_ref holder;
        time_point sentAt;
        wanted_amounts wanted;
    };

    account *findAccount(std::string_view customer);
    const account *findAccount(std::string_view customer) const;
    bool spend(account &customer, time_point now);
    void recordMissingToken(account &customer, time_point now);
    micro_tokens spendable(const account &customer, time_point now) const;
    std::optional<std::uint32_t> holderIndex(const node_ref &node) const;
    bool canRequestFrom(const account &customer, std::size_t holder, time_point now) const;
    std::size_t holderCount(const account &customer) const;
    /// \returns whether a token request for \a customer can be sent to some holder now.
    bool canRequestTokens(const account &customer, time_point now) const;
    duration emptyHolderDelay(const account &customer, std::uint32_t emptyResponses) const;
    void recordGrantResult(account &customer, std::optional<std::uint32_t> holder,
                           micro_tokens wanted, micro_tokens granted, time_point now);

    void estimateDemand(time_point now);
    micro_tokens tokensToRequest(const account &customer, time_point now) const;
    void expireRequests(time_point now);
    void requestTokens(time_point now, std::vector<send_peer> &out);
    void addUnderGrantedCustomers(std::size_t holder, time_point now,
                                  wanted_amounts &wantedAmounts) const;
    void distributeRequest(std::uint32_t index, micro_tokens needed, time_point now,
                           std::vector<wanted_amounts> &perHolder);
    void sendRequest(std::size_t holder, wanted_amounts wantedAmounts, time_point now,
                     std::vector<send_peer> &out);
    std::size_t holderInOrder(std::size_t step) const;
    void reportLots(bool all, time_point now, std::vector<send_peer> &out);
    void collectReports(account &customer, bool all, time_point now, std::vector<lot_report> &rows);
    void sendReports(std::vector<lot_report> &rows, std::vector<send_peer> &out);
    void refillBudget(double elapsed);
    void chargeBudget(account &customer, double messages, double amounts);

    node_ref m_self;
    pool_options m_options;
    slot_holder *m_local;
    internal::name_map<std::uint32_t> m_index;
    std::vector<account> m_accounts;
    std::vector<holder_state> m_holders; ///< Holders in this node's zone come first.
    std::size_t m_localHolderCount = 0;
    std::vector<pending_request> m_pending;
    std::uint64_t m_nextSequence;
    std::size_t m_nextHolder = 0;
    time_point m_nextTick = time_point::min();
    time_point m_nextExchange = time_point::min();
    time_point m_lastEstimate = time_point::min();
    double m_bytesUsed = 0;
    double m_bytesPerCustomerPerSecond = 0; ///< Budget per second of each active customer.
    double m_sharedByteBudget = 0; ///< Budget that customers have not used.
};

} // namespace tamarackridge
