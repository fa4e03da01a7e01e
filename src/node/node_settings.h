#pragma once

#include "node/caller_server.h"
#include "process/log.h"
#include "process/settings.h"

#include "tamarackridge/src/node/node_core.h"

#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Contents of a node's settings file.
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
    std::string backendAddress; ///< Empty: the address of the announcement's sender.
    std::int64_t maxResponseBytes = 8 << 20;
    /// Must be less than the backend server's idle timeout.
    std::int64_t keptConnectionIdleSeconds = 15;

    /// The slots of a crashed node become free after it.
    std::int64_t quotaLeaseSeconds = 12 * 3600;
    /// Spreads the claims of several nodes for free slots.
    std::int64_t quotaClaimDelayMs = 10'000;

    std::string adminToken; ///< Empty: administration only from this node's VM.
    std::vector<std::string> localAddresses; ///< Of this node's VM. Empty: those of its interfaces.
    std::string logLevel = "info";
    std::string traceFile; ///< Empty: no spans are written.
    std::string requestFile; ///< Empty: requests are not recorded.
};

/// \brief Reads and checks a node's settings file.
/// \param out complete only if no errors are returned.
/// \returns all errors of the file.
std::vector<settings_error> readNodeSettings(const std::string &fileName, node_settings &out);

/// \returns the options of node_core that correspond to \a settings.
node_options optionsOf(const node_settings &settings, incarnation_id incarnation);

} // namespace tamarackridge
