#include "node/node_settings.h"

#include "node/fleet_key.h"

#include <utility>

namespace tamarackridge {
namespace {

constexpr std::int64_t minHeaderLimitBytes = 1 << 10;
constexpr std::int64_t maxHeaderLimitBytes = 64 << 10;
constexpr std::int64_t maxBodyLimitBytes = 64 << 20;
constexpr std::int64_t maxResponseLimitBytes = 256 << 20;
constexpr std::int64_t maxConnectionLimit = 10'000;
constexpr std::int64_t maxIdleTimeoutSeconds = 3600;
constexpr std::int64_t minRetentionSeconds = 60;
constexpr std::int64_t maxRetentionSeconds = std::int64_t{365} * 86'400;
constexpr std::int64_t minLeaseSeconds = 60;
constexpr std::int64_t maxLeaseSeconds = 86'400;
constexpr std::int64_t maxClaimDelayMs = 60'000;

std::vector<settings_field> seedFields(seed_peer &seed)
{
    return {stringField("node", seed.node), stringField("endpoint", seed.endpoint)};
}

// Integer settings that are converted to another type in caller_server_options.
struct caller_limits
{
    std::int64_t bodyBytes = std::int64_t{4} << 20;
    std::int64_t headerBytes = 12 << 10;
    std::int64_t connections = 1200;
    std::int64_t idleSeconds = 120;
};

std::vector<settings_field> fieldsOf(node_settings &out, caller_limits &limits)
{
    using enum field_presence;
    return {
            stringField("node.zone", out.zone),
            stringField("node.name", out.name),
            stringField("callers.address", out.callers.address, optional),
            portField("callers.port", out.callers.port),
            integerField("callers.max_body_bytes", limits.bodyBytes, 0, maxBodyLimitBytes),
            integerField("callers.max_header_bytes", limits.headerBytes, minHeaderLimitBytes,
                         maxHeaderLimitBytes),
            integerField("callers.max_connections", limits.connections, 1, maxConnectionLimit),
            integerField("callers.idle_s", limits.idleSeconds, 1, maxIdleTimeoutSeconds),
            stringField("peers.bind", out.peerBind),
            stringField("peers.endpoint", out.peerEndpoint),
            stringField("peers.public_key", out.fleetPublicKey),
            stringField("peers.secret_key", out.fleetSecretKey),
            listField("peers.seeds", out.seeds, &seedFields),
            stringField("log.address", out.logAddress, optional),
            integerField("log.retention_s", out.logRetentionSeconds, minRetentionSeconds,
                         maxRetentionSeconds),
            stringField("backend.address", out.backendAddress, optional),
            integerField("backend.max_answer_bytes", out.maxResponseBytes, 1,
                         maxResponseLimitBytes),
            integerField("quota.lease_s", out.quotaLeaseSeconds, minLeaseSeconds, maxLeaseSeconds),
            integerField("quota.claim_delay_ms", out.quotaClaimDelayMs, 0, maxClaimDelayMs),
            integerField("backend.kept_connection_idle_s", out.keptConnectionIdleSeconds, 1,
                         maxIdleTimeoutSeconds),
            stringField("admin.token", out.adminToken, optional),
            stringListField("admin.own_addresses", out.localAddresses),
            choiceField("logging.level", out.logLevel, {"debug", "info", "warning", "error"}),
            stringField("logging.trace_file", out.traceFile, optional),
            stringField("logging.request_file", out.requestFile, optional),
    };
}

void applyLimits(const caller_limits &limits, caller_server_options &out)
{
    out.maxBodyBytes = static_cast<std::size_t>(limits.bodyBytes);
    out.maxHeaderBytes = static_cast<std::size_t>(limits.headerBytes);
    out.maxConnections = static_cast<unsigned>(limits.connections);
    out.idleTimeoutSeconds = static_cast<unsigned>(limits.idleSeconds);
}

} // namespace

std::vector<settings_error> readNodeSettings(const std::string &fileName, node_settings &out)
{
    caller_limits limits;
    const std::vector<settings_field> fields = fieldsOf(out, limits);
    std::vector<settings_error> errors = readSettingsFile(fileName, fields);
    applyLimits(limits, out.callers);
    if (!out.fleetPublicKey.empty() && !out.fleetSecretKey.empty()
        && !isKeyPair(out.fleetPublicKey, out.fleetSecretKey)) {
        errors.push_back({"peers.secret_key",
                          "the CURVE key (40 characters in Z85) that belongs to peers.public_key"});
    }
    return errors;
}

node_options optionsOf(const node_settings &settings, incarnation_id incarnation)
{
    node_options options;
    options.self = {settings.zone, settings.name, incarnation};
    options.peerEndpoint = settings.peerEndpoint;
    options.seeds = settings.seeds;
    options.logRetention = std::chrono::seconds(settings.logRetentionSeconds);
    options.quotaLease = std::chrono::seconds(settings.quotaLeaseSeconds);
    options.quotaClaimDelay = std::chrono::milliseconds(settings.quotaClaimDelayMs);
    options.logConfigured = !settings.logAddress.empty();
    return options;
}

} // namespace tamarackridge
