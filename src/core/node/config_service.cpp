#include "core/node/config_service.h"

#include <algorithm>
#include <vector>

namespace tamarackridge::internal {

namespace {

snapshot_options snapshotOptions(const node_options &options)
{
    snapshot_options result;
    result.retention = options.logRetention;
    return result;
}

} // namespace

config_service::config_service(const node_options &options, overlay &membership,
                               node_counters &counters, random_source &random, install_sink sink)
    : m_options(options)
    , m_membership(membership)
    , m_counters(counters)
    , m_installSink(std::move(sink))
    , m_log(snapshotOptions(options))
    , m_keys(random.next())
    , m_confirmation(options.self.zone)
{ }

void config_service::installIfNewer(time_point now)
{
    if (m_log.version() <= m_installedVersion || !m_log.current())
        return;
    m_configSet = m_log.current();
    m_installedVersion = m_log.version();
    m_keys.install(m_configSet, m_installedVersion);
    m_confirmation.configure(*m_configSet, now);
    m_installSink(*m_configSet, now);
}

void config_service::onLogRecords(std::span<const log_record> records, std::int64_t first,
                                  std::int64_t end, time_point now, action_list &out)
{
    const std::uint64_t undecodable = m_log.counters().undecodable;
    m_log.onLogRecords(records, first, end, now);
    m_counters.add(node_counter::log_records_refused, m_log.counters().undecodable - undecodable);
    installIfNewer(now);
    if (m_log.upToDate())
        m_confirmation.logEndRead(now);
    relay(records, {}, out);
    // The embedding program continues after the last record without a new read_log. An explicit one
    // is needed when a snapshot requires reading from an earlier offset.
    if (!records.empty())
        m_nextReadOffset = records.back().offset + 1;
    updateReading(out);
}

void config_service::relay(std::span<const log_record> records, std::string_view excludedNode,
                           action_list &out)
{
    config_records message;
    for (const log_record &record : records) {
        if (record.offset > m_relayedOffset)
            message.records.push_back(record);
    }
    if (message.records.empty())
        return;
    m_relayedOffset = message.records.back().offset;
    for (const std::string &neighbour : m_membership.neighbours()) {
        if (neighbour != excludedNode)
            m_membership.send(neighbour, message, out);
    }
}

void config_service::updateReading(action_list &out)
{
    const bool shouldRead = m_options.logConfigured && m_membership.isRelay();
    if (!shouldRead && m_nextReadOffset) {
        m_nextReadOffset.reset();
        out.push_back(stop_reading{std::string(stream)});
    }
    if (shouldRead && m_nextReadOffset != m_log.nextReadOffset()) {
        m_nextReadOffset = m_log.nextReadOffset();
        out.push_back(read_log{std::string(stream), *m_nextReadOffset});
    }
}

void config_service::onHeartbeat(const node_ref &from, const heartbeat &message, time_point now,
                                 action_list &out)
{
    m_confirmation.recordZoneContact(from.zone, duration::zero(), now);
    for (const zone_contact &contact : message.zones)
        m_confirmation.recordZoneContact(contact.zone, contact.timeSinceContact, now);
    m_confirmation.recordPeerConfirmationAge(message.confirmationAge, now);
    if (message.configVersion > m_log.version())
        m_membership.send(from.name, config_fetch{m_log.version()}, out);
}

void config_service::onFetch(const node_ref &from, const config_fetch &message, action_list &out)
{
    if (std::optional<config_state> state = m_log.stateFor(message.haveVersion))
        m_membership.send(from.name, std::move(*state), out);
}

void config_service::onState(const node_ref &, const config_state &message, time_point now,
                             action_list &out)
{
    m_log.onPeerState(message, now);
    installIfNewer(now);
    updateReading(out);
}

void config_service::onRecords(const node_ref &from, const config_records &message, time_point now,
                               action_list &out)
{
    m_log.onRelayedRecords(message.records, now);
    installIfNewer(now);
    relay(message.records, from.name, out);
    if (m_log.needsFetch())
        m_membership.send(from.name, config_fetch{m_log.version()}, out);
}

void config_service::tick(time_point now, action_list &out)
{
    updateReading(out);
    if (!m_nextReadOffset)
        return;
    const std::uint32_t rank = static_cast<std::uint32_t>(m_membership.rank());
    if (std::optional<std::string> snapshot = m_log.tick(rank, now))
        out.push_back(append_log{snapshotAppend, std::string(stream), std::move(*snapshot)});
}

} // namespace tamarackridge::internal
