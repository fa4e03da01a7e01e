#include "tamarackridge/src/config/snapshot_schedule.h"

#include <algorithm>

namespace tamarackridge {
namespace {

/// Age at which a new snapshot is due, in tenths of the retention time. One tenth is left for
/// delays, so that the snapshot is appended before half of the retention time.
constexpr int dueTenths = 4;
/// A node that does not know the age of the last snapshot waits for one for this fraction, an
/// eighth, of the retention time, so that restarting nodes do not append one each.
constexpr int unknownAgeDivisor = 8;

} // namespace

snapshot_schedule::snapshot_schedule(snapshot_options options)
    : m_options(options)
{ }

void snapshot_schedule::addRecord(std::int64_t offset, time_point acceptedAt)
{
    // After the read position moved back, records are read again.
    if (!m_recent.empty() && offset <= m_recent.back().first)
        return;
    m_recent.emplace_back(offset, acceptedAt);
    if (m_recent.size() > 2 * std::size_t{m_options.recordsPerSnapshot})
        m_recent.pop_front();
}

std::optional<time_point> snapshot_schedule::acceptedAt(std::int64_t offset) const
{
    const auto found = std::lower_bound(
            m_recent.begin(), m_recent.end(), offset,
            [](const auto &entry, std::int64_t wanted) { return entry.first < wanted; });
    if (found == m_recent.end() || found->first != offset)
        return std::nullopt;
    return found->second;
}

void snapshot_schedule::replaceBase(replay_base replacement)
{
    if (m_replayBase
        && (replacement.covered <= m_replayBase->covered
            || replacement.acceptedAt < m_replayBase->acceptedAt))
        return;
    m_replayBase = replacement;
    m_dueSince.reset();
    m_appendedAt.reset();
}

void snapshot_schedule::addSnapshot(std::int64_t offset, std::int64_t covered)
{
    // A stale snapshot that is appended late is as old as the oldest record that its readers need.
    const std::optional<time_point> oldest = acceptedAt(std::min(covered + 1, offset));
    if (oldest)
        replaceBase({covered, *oldest});
}

void snapshot_schedule::addPublication(std::int64_t offset)
{
    const std::optional<time_point> accepted = acceptedAt(offset);
    if (!m_replayBase && accepted)
        m_replayBase = replay_base{offset - 1, *accepted};
}

void snapshot_schedule::assumeSnapshotAge(std::int64_t covered, time_point now)
{
    if (!m_replayBase)
        m_replayBase = replay_base{covered, now - dueTenths * m_options.retention / 10
                                                    + m_options.retention / unknownAgeDivisor};
}

bool snapshot_schedule::due(std::int64_t nextOffset, time_point now) const
{
    // Also due if the log keeps records for less than the configured retention and has trimmed what
    // new readers need.
    return m_replayBase
           && (m_replayBase->covered + 1 < m_first
               || now - m_replayBase->acceptedAt >= dueTenths * m_options.retention / 10
               || nextOffset - 1 - m_replayBase->covered > m_options.recordsPerSnapshot);
}

bool snapshot_schedule::tick(std::uint32_t rank, std::int64_t nextOffset, time_point now)
{
    if (!due(nextOffset, now)) {
        m_dueSince.reset();
        return false;
    }
    if (!m_dueSince)
        m_dueSince = now;
    const bool waiting = m_appendedAt && now - *m_appendedAt < m_options.appendRetryInterval;
    if (waiting || now - *m_dueSince < rank * m_options.rankDelay)
        return false;
    m_appendedAt = now;
    return true;
}

} // namespace tamarackridge
