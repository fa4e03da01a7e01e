#pragma once

#include "core/node/node_counters.h"
#include "tamarackridge/config"
#include "tamarackridge/src/membership/overlay.h"
#include "tamarackridge/src/node/node_core.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace tamarackridge::internal {

/// \brief Keeps the configuration of one node up to date.
///
/// Reads the platform log if this node is a relay, otherwise receives the records from peers, and
/// relays new records to its neighbours.
class config_service
{
public:
    /// \brief Append id of configuration snapshots; the append ids of quota_service are higher.
    static constexpr append_id snapshotAppend = 0;

    /// \brief Called after another version of the configuration was installed.
    using install_sink = std::function<void(const config_set &set, time_point now)>;

    config_service(const node_options &options, overlay &membership, node_counters &counters,
                   random_source &random, install_sink sink);

    void onLogRecords(std::span<const log_record> records, std::int64_t first, std::int64_t end,
                      time_point now, action_list &out);
    void onHeartbeat(const node_ref &from, const heartbeat &message, time_point now,
                     action_list &out);
    void onFetch(const node_ref &from, const config_fetch &message, action_list &out);
    void onState(const node_ref &from, const config_state &message, time_point now,
                 action_list &out);
    void onRecords(const node_ref &from, const config_records &message, time_point now,
                   action_list &out);
    void tick(time_point now, action_list &out);

    /// \returns the installed configuration, or null before the first one.
    const config_set *current() const { return m_configSet.get(); }
    std::int64_t version() const { return m_log.version(); }
    duration confirmationAge(time_point now) const { return m_confirmation.age(now); }
    /// \returns whether requests on routes that need an API key must be refused, because the known
    /// keys may be out of date.
    bool unconfirmed(time_point now) const { return m_confirmation.expired(now); }
    key_store &keys() { return m_keys; }

private:
    void installIfNewer(time_point now);
    void relay(std::span<const log_record> records, std::string_view excludedNode,
               action_list &out);
    void updateReading(action_list &out);

    static constexpr std::string_view stream = "config";

    const node_options &m_options;
    overlay &m_membership;
    node_counters &m_counters;
    install_sink m_installSink;
    config_log m_log;
    key_store m_keys;
    confirmation m_confirmation;
    std::shared_ptr<const config_set> m_configSet;
    std::int64_t m_installedVersion = -1;
    std::int64_t m_relayedOffset = -1; ///< Offset of the last record that was relayed.
    std::optional<std::int64_t> m_nextReadOffset; ///< Offset at which the embedding program reads
                                                  ///< next, while this node reads the log.
};

} // namespace tamarackridge::internal
