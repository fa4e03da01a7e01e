#include "tamarackridge/src/config/config_log.h"

#include "tamarackridge/src/config/config_json.h"

#include <algorithm>
#include <utility>

namespace tamarackridge {
namespace {

/// Number of publications whose outcome is kept; a publisher queries it within seconds.
constexpr std::size_t maxDecidedPublications = 256;

} // namespace

config_log::config_log(snapshot_options options)
    : m_schedule(options)
{ }

bool config_log::onLogRecords(std::span<const log_record> records, std::int64_t first,
                              std::int64_t end, time_point now)
{
    const std::int64_t before = m_version;
    updateFirstOffset(first);
    m_end = end;
    // A log that lost records assigns their offsets again. Its records are not applied, as this
    // could revert the version, and upToDate() stays false, so that this log confirms nothing.
    if (end < m_next)
        ++m_counters.truncatedLogs;
    for (const log_record &record : records) {
        if (record.offset < m_next)
            continue;
        if (record.offset > m_next)
            updateFirstOffset(record.offset);
        m_next = record.offset + 1;
        applyRecord(record, now);
        // A snapshot moved the read position back: the records after its covered offset are read
        // again, in order.
        if (m_next <= record.offset)
            break;
    }
    return m_version != before;
}

void config_log::updateFirstOffset(std::int64_t first)
{
    m_first = std::max(m_first, first);
    m_schedule.updateFirstOffset(m_first);
    if (first > m_next) {
        m_continuous = false;
        m_next = first;
    }
}

bool config_log::onRelayedRecords(std::span<const log_record> records, time_point now)
{
    const std::int64_t before = m_version;
    for (const log_record &record : records) {
        m_relayed = std::max(m_relayed, record.offset);
        if (m_continuous && record.offset == m_next) {
            m_next = record.offset + 1;
            applyRecord(record, now);
        }
    }
    return m_version != before;
}

void config_log::applyRecord(const log_record &record, time_point now)
{
    m_schedule.addRecord(record.offset, now - record.age);
    if (m_continuous)
        m_covered = record.offset;
    tl::expected<config_record, error_kind> decoded = decodeConfigRecord(record.data);
    if (!decoded)
        ++m_counters.undecodable;
    else if (config_snapshot *snapshot = std::get_if<config_snapshot>(&*decoded))
        applySnapshot(std::move(*snapshot), record.offset);
    else if (m_continuous)
        applyPublication(std::get<publication>(*decoded), record.offset);
}

void config_log::applyPublication(const publication &record, std::int64_t offset)
{
    if (record.base != m_version) {
        ++m_counters.conflicts;
        recordOutcome(record, {publication_outcome::conflict, offset});
        return;
    }
    static const config_set emptySet;
    tl::expected<config_set, config_errors> result =
            apply(m_current == nullptr ? emptySet : *m_current, record.delta);
    if (!result) {
        ++m_counters.invalid;
        recordOutcome(record, {publication_outcome::invalid, offset});
        return;
    }
    ++m_counters.applied;
    install(std::move(*result), offset);
    recordOutcome(record, {publication_outcome::applied, offset});
    m_schedule.addPublication(offset);
}

void config_log::applySnapshot(config_snapshot record, std::int64_t offset)
{
    const bool plausible = record.covered < offset && record.covered + 1 >= m_first;
    if (!m_continuous) {
        if (!plausible || record.covered < m_covered || record.version < m_version) {
            ++m_counters.unusableSnapshots;
            return;
        }
        install(std::move(record.set), record.version);
        m_covered = record.covered;
        m_next = record.covered + 1;
        m_continuous = true;
    }
    if (plausible)
        m_schedule.addSnapshot(offset, record.covered);
}

void config_log::install(config_set set, std::int64_t version)
{
    m_current = std::make_shared<const config_set>(std::move(set));
    m_version = version;
}

bool config_log::onPeerState(const config_state &state, time_point now)
{
    if (state.coveredOffset <= m_covered || state.version < m_version)
        return false;
    const std::int64_t before = m_version;
    if (state.version > m_version) {
        tl::expected<config_set, config_errors> set = parseConfigSet(state.set);
        if (!set || state.version > state.coveredOffset) {
            ++m_counters.refusedStates;
            return false;
        }
        install(std::move(*set), state.version);
    }
    m_covered = state.coveredOffset;
    // If the log has trimmed the next record, the next read detects the gap.
    m_next = m_covered + 1;
    m_continuous = true;
    m_schedule.assumeSnapshotAge(m_covered, now);
    return m_version != before;
}

std::optional<std::string> config_log::tick(std::uint32_t rank, time_point now)
{
    if (m_current == nullptr || !m_continuous || !m_schedule.tick(rank, m_next, now))
        return std::nullopt;
    return encodeSnapshot(m_version, m_covered, *m_current);
}

std::optional<config_state> config_log::stateFor(std::int64_t haveVersion) const
{
    if (m_current == nullptr || haveVersion > m_version)
        return std::nullopt;
    const bool known = haveVersion == m_version;
    return config_state{m_version, m_covered, known ? std::string() : toJson(*m_current)};
}

void config_log::recordOutcome(const publication &record, publication_result result)
{
    m_decided.push_back({record.id, result});
    if (m_decided.size() > maxDecidedPublications)
        m_decided.pop_front();
}

std::optional<publication_result>
config_log::publicationOutcome(std::string_view publicationId) const
{
    return findDecided([publicationId](const decided_publication &entry) {
        return entry.id == publicationId;
    });
}

std::optional<publication_result> config_log::publicationOutcomeAt(std::int64_t offset) const
{
    return findDecided(
            [offset](const decided_publication &entry) { return entry.result.offset == offset; });
}

template <typename Condition>
std::optional<publication_result> config_log::findDecided(Condition condition) const
{
    const auto found = std::find_if(m_decided.begin(), m_decided.end(), condition);
    if (found == m_decided.end())
        return std::nullopt;
    return found->result;
}

} // namespace tamarackridge
