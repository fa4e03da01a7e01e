#pragma once

#include "process/settings.h"
#include "sidecar/event_loop.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Settings of `tamarackridge-sidecar`.
struct sidecar_settings
{
    std::string zone;
    std::vector<std::string> zones; ///< All availability zones of the deployment.
    std::string name;
    std::string service; ///< Service of the backend server on this VM.
    socket_address callers; ///< Receives requests of callers on this VM.
    socket_address health; ///< Health endpoint that the platform queries for readiness.
    socket_address control; ///< Receives heartbeats of the backend server.
    socket_address backend;
    socket_address peers;
    socket_address metrics;
    socket_address store;
    std::int64_t maxStopSeconds = 9; ///< From SIGTERM to the end of the process.
    /// From SIGTERM to SIGKILL, if that is known; takes precedence over maxStopSeconds.
    std::optional<duration> graceTime{};
};

/// \returns the time that \a text gives in seconds, nothing if it is empty, or a message that says
/// what is wrong.
tl::expected<std::optional<duration>, std::string> parseGraceTime(std::string_view text);

/// \brief Times from SIGTERM within which the requests of a stopping process end.
struct stop_limits
{
    duration admitted{}; ///< Requests that are admitted or sent again after SIGTERM.
    duration all{}; ///< All requests; what is in progress then is given up.
};

stop_limits stopLimits(const sidecar_settings &settings);

/// \brief Reads a settings file in JSON with comments into \a out.
/// \returns all errors; empty on success.
std::vector<settings_error> readSidecarSettings(const std::string &fileName, sidecar_settings &out);

} // namespace tamarackridge
