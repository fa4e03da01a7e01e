#pragma once

#include "core/node/node_counters.h"
#include "tamarackridge/src/ledger/request_id.h"
#include "tamarackridge/src/membership/overlay.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace tamarackridge::internal {

/// \brief Forwards callers' requests to the nodes that own their request ids.
class owner_calls
{
public:
    owner_calls(overlay &membership, node_counters &counters)
        : m_membership(membership)
        , m_counters(counters)
    { }

    /// \brief Forwards a call. The caller gets exactly one response.
    void forward(call_id call, const request_id &id, owner_call message, time_point now,
                 action_list &out);
    void onResponse(const node_ref &from, const owner_response &message, action_list &out);
    void callerDisconnected(call_id call);
    /// \brief Records which node took over the ledger of a member that has left.
    void updateSuccessor(const member &info, time_point now);
    void tick(time_point now, action_list &out);
    bool idle() const { return m_pending.empty(); }

private:
    struct pending_call
    {
        call_id call = 0;
        std::string owner;
        time_point deadline;
    };
    struct successor_record
    {
        std::string node;
        time_point since;
    };

    tl::expected<std::string, error_kind> currentOwner(const request_id &id) const;

    overlay &m_membership;
    node_counters &m_counters;
    std::unordered_map<std::uint64_t, pending_call> m_pending;
    std::map<incarnation_id, successor_record> m_successors;
    std::uint64_t m_nextCall = 1;
};

} // namespace tamarackridge::internal
