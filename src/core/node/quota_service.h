#pragma once

#include "tamarackridge/quota"
#include "tamarackridge/src/config/config_set.h"
#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/node/node_core.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::internal {

/// \brief Enforces the rate and burst of customers.
///
/// Claims quota slots for this node, grants tokens from them, and requests tokens from the holders
/// of other slots.
class quota_service
{
public:
    quota_service(const node_options &options, overlay &membership, random_source &random);

    void configure(const config_set &set, time_point now);
    void onLogRecords(std::span<const log_record> records, std::int64_t first, std::int64_t end,
                      time_point now, action_list &out);
    void appendDone(append_id append, bool accepted);
    void membersChanged();

    bool trySpend(std::string_view customer, time_point now);
    bool retrySpend(std::string_view customer, time_point now);
    bool expectsGrant(std::string_view customer, time_point now) const;

    void onRequest(const node_ref &from, const token_request &message, time_point now,
                   action_list &out);
    void onGrant(const node_ref &from, const token_grant &message, time_point now);
    void onReport(const node_ref &from, const token_report &message, time_point now);
    void tick(time_point now, action_list &out);
    /// \brief Requests tokens from other holders if a request is due.
    void requestTokens(time_point now, action_list &out);

    /// \brief Returns all tokens and releases all slots, before the node stops.
    void release(time_point now, action_list &out);
    /// \returns whether the node must wait for the platform log to accept a release.
    bool releasePending(time_point now) const;
    std::size_t slotsHeld(time_point now) const { return m_tenure.held(now).size(); }

private:
    void updateReading(action_list &out);
    void updateHolders();
    void append(std::vector<tenure_append> appends, action_list &out);
    void send(std::vector<send_peer> &messages, action_list &out);

    static constexpr std::string_view stream = "quota";

    const node_options &m_options;
    overlay &m_membership;
    slot_tenure m_tenure;
    slot_holder m_holder;
    token_pool m_pool;
    std::vector<send_peer> m_messages;
    std::uint32_t m_localZoneSlots = 0;
    bool m_reading = false;
    bool m_readStarted = false;
    bool m_holdersOutdated = true;
    bool m_released = false;
    std::size_t m_pendingAppends = 0;
    time_point m_releaseDeadline;
    time_point m_nextTenureTick;
};

} // namespace tamarackridge::internal
