#pragma once

#include "core/node/dispatcher.h"
#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/routing/router.h"

#include <map>
#include <string>
#include <string_view>

namespace tamarackridge::internal {

/// \brief Applies membership changes to the executors of the router and to running dispatches.
class routing_updater
{
public:
    routing_updater(overlay &membership, router &routes, dispatcher &dispatches)
        : m_membership(membership)
        , m_routes(routes)
        , m_dispatcher(dispatches)
    { }

    /// \brief Updates the executor of a node in the router from the node's directory record.
    void updateExecutor(std::string_view name, time_point now);
    /// \brief Applies changed members, and retries elsewhere what was dispatched to members that
    /// are no longer alive.
    void applyMembers(const overlay_changes &changes, time_point now, action_list &out);
    /// \brief Updates which zones are reachable, from the time since the last contact with each.
    void updateReachability(time_point now, action_list &out);
    /// \brief Excludes a start of the backend server beside \a node from routing.
    /// \returns false if it was excluded before.
    bool setServerLeaving(std::string_view node, const server_start &server, time_point now);
    /// \returns whether a member accepts requests and its zone is reachable.
    bool isServing(const directory::record &record, time_point now) const;

private:
    void onExecutorUnavailable(std::string_view node, time_point now, action_list &out);

    overlay &m_membership;
    router &m_routes;
    dispatcher &m_dispatcher;
    std::map<std::string, bool, std::less<>> m_zoneReachable;
    std::map<std::string, server_start, std::less<>> m_leavingServers; ///< By node, the last one.
};

} // namespace tamarackridge::internal
