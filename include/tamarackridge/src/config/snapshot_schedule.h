#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace tamarackridge {

/// \brief Settings of snapshot_schedule.
struct snapshot_options
{
    /// Time for which the platform log keeps a record.
    duration retention = std::chrono::hours(24);
    /// Delay per rank before a node appends a snapshot that is due.
    duration rankDelay = std::chrono::seconds(5);
    /// Minimum interval between two appends by this node.
    duration appendRetryInterval = std::chrono::seconds(30);
    /// Maximum number of records that a new reader has to replay.
    std::uint32_t recordsPerSnapshot = 1000;
};

/// \brief Decides when a new snapshot of the configuration has to be appended to the log.
///
/// A new reader needs a snapshot and every record after the offset that the snapshot covers. The
/// schedule tracks when the log accepted the oldest of these records.
class snapshot_schedule
{
public:
    explicit snapshot_schedule(snapshot_options options);

    /// \brief Takes a record that was read; must be called in order of offset.
    void addRecord(std::int64_t offset, time_point acceptedAt);
    /// \brief Takes the snapshot at \a offset; the log must retain all records after \a covered.
    void addSnapshot(std::int64_t offset, std::int64_t covered);
    /// \brief Takes the publication at \a offset, which was applied.
    void addPublication(std::int64_t offset);
    /// \brief Sets the offset of the oldest record that the log retains.
    void updateFirstOffset(std::int64_t first) { m_first = first; }
    /// \brief Must be called when the configuration came from a peer, so that the age of the last
    /// snapshot is not known.
    void assumeSnapshotAge(std::int64_t covered, time_point now);

    /// \param rank position of this node among those that append; nodes of lower rank act first.
    /// \returns whether to append a snapshot now.
    bool tick(std::uint32_t rank, std::int64_t nextOffset, time_point now);

private:
    struct replay_base
    {
        std::int64_t covered; ///< A new reader needs every record after this offset.
        time_point acceptedAt; ///< When the log accepted the first of these records.
    };

    std::optional<time_point> acceptedAt(std::int64_t offset) const;
    void replaceBase(replay_base replacement);
    bool due(std::int64_t nextOffset, time_point now) const;

    snapshot_options m_options;
    std::optional<replay_base> m_replayBase;
    std::int64_t m_first = 0;
    std::deque<std::pair<std::int64_t, time_point>> m_recent;
    std::optional<time_point> m_dueSince;
    std::optional<time_point> m_appendedAt;
};

} // namespace tamarackridge
