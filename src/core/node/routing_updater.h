#pragma once

#include "core/node/dispatcher.h"
#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/routing/router.h"

#include <map>
#include <string>
#include <string_view>

namespace tamarackridge::internal {

/// \brief Keeps the router's executors and the running dispatches in line with the membership.
class routing_updater
{
public:
    routing_updater(overlay &membership, router &routes, dispatcher &dispatches)
        : m_membership(membership)
        , m_routes(routes)
        , m_dispatcher(dispatches)
    { }

    /// \brief Passes what the directory says about a node on to the router.
    void updateExecutor(std::string_view name, time_point now);
    /// \brief Dispatches to members that are not alive any more are sent elsewhere.
    void applyMembers(const overlay_changes &changes, time_point now, action_list &out);
    /// \brief Follows zones that become silent or are heard again.
    void updateReachability(time_point now, action_list &out);
    /// \returns whether a member takes requests and can be reached.
    bool serves(const directory::record &record, time_point now) const;

private:
    void lose(std::string_view node, time_point now, action_list &out);

    overlay &m_membership;
    router &m_routes;
    dispatcher &m_dispatcher;
    std::map<std::string, bool, std::less<>> m_zoneReachable;
};

} // namespace tamarackridge::internal
