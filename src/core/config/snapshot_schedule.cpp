#include "tamarackridge/src/config/snapshot_schedule.h"

#include <algorithm>

namespace tamarackridge {
namespace {

/// Age at which a snapshot is due, in tenths of the retention time. It leaves a tenth for delays
/// until half of the retention time has passed.
constexpr int dueTenths = 4;
/// A node that does not know the last snapshot's age waits an eighth of the retention time for one,
/// so that restarting nodes do not append one each.
constexpr int unknownBasisShare = 8;

} // namespace

snapshot_schedule::snapshot_schedule(snapshot_options options)
    : m_options(options)
{ }

void snapshot_schedule::noteRecord(std::int64_t offset, time_point acceptedAt)
{
    // After a rewind, records are read once more.
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

void snapshot_schedule::renew(basis replacement)
{
    if (m_basis
        && (replacement.covered <= m_basis->covered
            || replacement.acceptedAt < m_basis->acceptedAt))
        return;
    m_basis = replacement;
    m_dueSince.reset();
    m_appendedAt.reset();
}

void snapshot_schedule::noteSnapshot(std::int64_t offset, std::int64_t covered)
{
    // A stale snapshot that is appended late counts from the oldest record that its readers need.
    const std::optional<time_point> oldest = acceptedAt(std::min(covered + 1, offset));
    if (oldest)
        renew({covered, *oldest});
}

void snapshot_schedule::notePublication(std::int64_t offset)
{
    const std::optional<time_point> accepted = acceptedAt(offset);
    if (!m_basis && accepted)
        m_basis = basis{offset - 1, *accepted};
}

void snapshot_schedule::noteUnknownBasis(std::int64_t covered, time_point now)
{
    if (!m_basis)
        m_basis = basis{covered, now - dueTenths * m_options.retention / 10
                                         + m_options.retention / unknownBasisShare};
}

bool snapshot_schedule::due(std::int64_t nextOffset, time_point now) const
{
    // A log that keeps records for less than the expected time has dropped what readers need.
    return m_basis
           && (m_basis->covered + 1 < m_first
               || now - m_basis->acceptedAt >= dueTenths * m_options.retention / 10
               || nextOffset - 1 - m_basis->covered > m_options.recordsPerSnapshot);
}

bool snapshot_schedule::tick(std::uint32_t rank, std::int64_t nextOffset, time_point now)
{
    if (!due(nextOffset, now)) {
        m_dueSince.reset();
        return false;
    }
    if (!m_dueSince)
        m_dueSince = now;
    const bool waiting = m_appendedAt && now - *m_appendedAt < m_options.appendPatience;
    if (waiting || now - *m_dueSince < rank * m_options.rankDelay)
        return false;
    m_appendedAt = now;
    return true;
}

} // namespace tamarackridge
