#pragma once

#include "process/settings.h"
#include "sidecar/event_loop.h"

#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Settings of the process `tamarackridge-sidecar`.
struct sidecar_settings
{
    std::string zone;
    std::vector<std::string> zones; ///< All availability zones of the deployment.
    std::string name;
    std::string service; ///< Of the backend server on this VM.
    socket_address callers; ///< Where requests of this VM arrive.
    socket_address health; ///< Where the platform asks whether this node is ready.
    socket_address control; ///< Where the backend server sends heartbeats.
    socket_address backend;
    socket_address peers;
    socket_address metrics;
    socket_address store;
    std::int64_t stopSeconds = 5; ///< Longest time from SIGTERM to the end of the process.
};

/// \brief Reads settings in JSON with comments.
/// \returns all faults, or nothing when \a out is set.
std::vector<settings_error> readSidecarSettings(const std::string &fileName, sidecar_settings &out);

} // namespace tamarackridge
