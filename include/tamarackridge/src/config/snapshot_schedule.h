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
    duration retention = std::chrono::hours(24); ///< How long the platform log keeps a record.
    duration rankDelay = std::chrono::seconds(5); ///< Head start of each rank when one is due.
    duration appendPatience = std::chrono::seconds(30); ///< Wait before another try.
    std::uint32_t recordsPerSnapshot = 1000; ///< Bounds what a fresh reader has to replay.
};

/// \brief Decides when a snapshot of the configuration has to be appended to the log again.
///
/// A fresh reader needs a snapshot and every record after the offset that it covers. The schedule
/// tracks when the oldest of these records was accepted.
class snapshot_schedule
{
public:
    explicit snapshot_schedule(snapshot_options options);

    /// \brief A record was read, in order of offset.
    void noteRecord(std::int64_t offset, time_point acceptedAt);
    /// \brief The record at \a offset is a snapshot whose following records are all retained.
    void noteSnapshot(std::int64_t offset, std::int64_t covered);
    /// \brief The record at \a offset is a publication that took effect.
    void notePublication(std::int64_t offset);
    /// \brief The log keeps no record below \a first.
    void noteFirst(std::int64_t first) { m_first = first; }
    /// \brief The configuration came from a peer: the age of the last snapshot is not known.
    void noteUnknownBasis(std::int64_t covered, time_point now);

    /// \param rank position of this node among those that append; lower ones act first.
    /// \returns whether to append a snapshot now.
    bool tick(std::uint32_t rank, std::int64_t nextOffset, time_point now);

private:
    struct basis
    {
        std::int64_t covered; ///< A fresh reader needs every record after this offset.
        time_point acceptedAt; ///< When the first of them was accepted.
    };

    std::optional<time_point> acceptedAt(std::int64_t offset) const;
    void renew(basis replacement);
    bool due(std::int64_t nextOffset, time_point now) const;

    snapshot_options m_options;
    std::optional<basis> m_basis;
    std::int64_t m_first = 0;
    std::deque<std::pair<std::int64_t, time_point>> m_recent;
    std::optional<time_point> m_dueSince;
    std::optional<time_point> m_appendedAt;
};

} // namespace tamarackridge
