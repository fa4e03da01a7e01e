#pragma once

#include "node/caller_server.h"
#include "process/log.h"
#include "process/settings.h"

#include "tamarackridge/src/node/node_core.h"

#include <string>
#include <vector>

namespace tamarackridge {

/// \brief The settings file of a node.
struct node_settings
{
    std::string zone;
    std::string name;

    caller_server_options callers;

    std::string peerBind; ///< ZeroMQ endpoint to listen on.
    std::string peerEndpoint; ///< ZeroMQ endpoint under which peers reach this node.
    std::string fleetPublicKey; ///< Z85, the same on all nodes of the fleet.
    std::string fleetSecretKey; ///< Z85.
    std::vector<seed_peer> seeds;

    std::string logAddress; ///< Empty: configuration comes from peers only.
    std::int64_t logRetentionSeconds = 86'400; ///< How long the log keeps a record.
    std::string backendAddress; ///< Empty: the address that the announcement came from.
    std::int64_t maxResponseBytes = 8 << 20;
    std::int64_t keptConnectionIdle = 15; ///< Seconds; below the backend server's own limit.

    std::int64_t quotaLeaseSeconds = 12 * 3600; ///< A crashed holder's share returns after it.
    std::int64_t quotaClaimDelayMs = 10'000; ///< Spreads the claims of free slots.

    std::string adminToken; ///< Empty: administration from the own VM only.
    std::vector<std::string> ownAddresses; ///< Empty: the addresses of the interfaces.
    std::string logLevel = "info";
    std::string traceFile; ///< Empty: no spans are written.
    std::string requestFile; ///< Empty: requests are not recorded.
};

/// \brief Reads and checks a node's settings file.
/// \param out is complete only when the result is empty.
/// \returns all faults.
std::vector<settings_error> readNodeSettings(const std::string &fileName, node_settings &out);

/// \returns the settings as node_core needs them.
node_options optionsOf(const node_settings &settings, incarnation_id incarnation);

} // namespace tamarackridge
