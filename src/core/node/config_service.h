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

/// \brief Keeps the configuration of one node: reads the log or learns from peers, and relays.
class config_service
{
public:
    /// \brief Number of the appends of snapshots; the quota's numbers begin above it.
    static constexpr append_id snapshotAppend = 0;

    /// \brief Called after another version has come into force.
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

    /// \returns the set in force, or null before the first one.
    const config_set *current() const { return m_set.get(); }
    std::int64_t version() const { return m_log.version(); }
    duration confirmationAge(time_point now) const { return m_confirmed.age(now); }
    /// \returns whether requests on keyed routes are refused since the keys may be out of date.
    bool unconfirmed(time_point now) const { return m_confirmed.expired(now); }
    key_store &keys() { return m_keys; }

private:
    void installIfNewer(time_point now);
    void relay(std::span<const log_record> records, std::string_view except, action_list &out);
    void updateReading(action_list &out);

    static constexpr std::string_view stream = "config";

    const node_options &m_options;
    overlay &m_membership;
    node_counters &m_counters;
    install_sink m_sink;
    config_log m_log;
    key_store m_keys;
    confirmation m_confirmed;
    std::shared_ptr<const config_set> m_set;
    std::int64_t m_installed = -1;
    std::int64_t m_relayed = -1; ///< Highest offset that was passed on.
    std::optional<std::int64_t> m_readingAt; ///< Offset that the shell reads next.
};

} // namespace tamarackridge::internal
