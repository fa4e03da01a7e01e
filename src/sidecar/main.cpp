#include "platform/store_gateway.h"
#include "sidecar/sidecar_app.h"
#include "sidecar/sidecar_settings.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

DEFINE_string(settings, "", "Settings file: JSON with comments.");
DEFINE_string(grace_time_s, "", "Seconds from SIGTERM to SIGKILL; empty if not known.");
DEFINE_bool(check_settings, false, "Check the settings file and exit.");

namespace {

constexpr int exitSettings = 2;
constexpr int exitFailure = 1;

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs beside a backend server; see docs/OPERATIONS.md");
    gflags::SetVersionString(TAMARACKRIDGE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    tamarackridge::sidecar_settings settings;
    const std::vector<tamarackridge::settings_error> errors =
            tamarackridge::readSidecarSettings(FLAGS_settings, settings);
    for (const tamarackridge::settings_error &error : errors)
        std::fprintf(stderr, "%s: %s\n", FLAGS_settings.c_str(),
                     tamarackridge::toString(error).c_str());
    const tl::expected<std::optional<tamarackridge::duration>, std::string> graceTime =
            tamarackridge::parseGraceTime(FLAGS_grace_time_s);
    if (!graceTime)
        std::fprintf(stderr, "--grace_time_s: %s\n", graceTime.error().c_str());
    if (!errors.empty() || !graceTime)
        return exitSettings;
    settings.graceTime = *graceTime;
    if (FLAGS_check_settings)
        return EXIT_SUCCESS;
    // With SIGPIPE ignored, writing to a connection that the other side has closed returns an error
    // instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        boost::asio::io_context loop(1);
        tamarackridge::platform::store_gateway platform(loop, settings.store);
        tamarackridge::sidecar_app app(loop, settings, platform);
        app.run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "tamarackridge-sidecar: %s\n", error.what());
        return exitFailure;
    }
    return EXIT_SUCCESS;
}
