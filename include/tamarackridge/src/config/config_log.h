#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/config/config_record.h"
#include "tamarackridge/src/config/config_set.h"
#include "tamarackridge/src/config/snapshot_schedule.h"
#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Counters of records and peer states by their effect.
struct config_log_counters
{
    std::uint64_t applied = 0; ///< Publications that were applied.
    std::uint64_t conflicts = 0; ///< Publications whose base version was not in force.
    std::uint64_t invalid = 0; ///< Publications whose result would be an invalid set.
    std::uint64_t undecodable = 0;
    std::uint64_t unusableSnapshots = 0; ///< Snapshots that could not be used when one was needed.
    std::uint64_t refusedStates = 0; ///< Undecodable or contradictory states from peers.
    /// Reads of a log that ends before records that were read earlier.
    std::uint64_t truncatedLogs = 0;
};

/// \brief Outcome of a publication.
enum class publication_outcome : std::uint8_t { applied, conflict, invalid };

/// \brief Outcome of a publication and its offset in the log.
struct publication_result
{
    publication_outcome outcome = publication_outcome::conflict;
    std::int64_t offset = -1;
};

/// \brief State machine that applies the records of the log stream `config`.
///
/// Offsets are consecutive. All readers of the same records agree on the set in force, no matter at
/// which offset they started, and the version never decreases.
///
/// \code
/// config_log log(snapshot_options{});
/// log.onLogRecords(records, first, end, now);
/// if (log.version() != before)
///     keys.install(log.current(), log.version());
/// \endcode
class config_log
{
public:
    explicit config_log(snapshot_options options);

    /// \brief Applies records that were read from the platform log.
    ///
    /// The next read must start at nextReadOffset(), which moves back when a snapshot requires it.
    /// \param first offset of the oldest retained record; \a end if there is none.
    /// \param end offset after the newest record.
    /// \returns whether the version in force changed.
    bool onLogRecords(std::span<const log_record> records, std::int64_t first, std::int64_t end,
                      time_point now);

    /// \brief Applies records that a peer relayed.
    /// \sa needsFetch
    /// \returns whether the version in force changed.
    bool onRelayedRecords(std::span<const log_record> records, time_point now);

    /// \brief Applies a complete configuration that a peer sent.
    /// \returns whether the version in force changed.
    bool onPeerState(const config_state &state, time_point now);

    /// \brief Decides whether this node has to append a snapshot now.
    /// \param rank position of this node in its zone; nodes of lower rank act first.
    /// \returns the snapshot record to append to the stream `config`, or std::nullopt.
    std::optional<std::string> tick(std::uint32_t rank, time_point now);

    /// \returns the set in force, or nullptr if there is none yet.
    std::shared_ptr<const config_set> current() const { return m_current; }
    /// \returns the offset of the publication in force, or -1.
    std::int64_t version() const { return m_version; }
    /// \returns the last offset that is reflected in current(), or -1.
    std::int64_t coveredOffset() const { return m_covered; }
    std::int64_t nextReadOffset() const { return m_next; }
    /// \returns whether the last read reached the end of the log without a gap, so that version()
    /// is the version in force there.
    bool upToDate() const { return m_continuous && m_next == m_end; }
    /// \returns whether relayed records revealed a gap that a peer's config_state can close.
    bool needsFetch() const { return m_relayed > m_covered; }
    /// \returns the state to send to a peer whose version is not newer. The set is omitted if the
    /// peer has the same version and lacks only the covered offset.
    std::optional<config_state> stateFor(std::int64_t haveVersion) const;
    /// \returns the outcome of a publication that was decided recently. If a resend left several
    /// records with the same id, the first one counts.
    std::optional<publication_result> publicationOutcome(std::string_view publicationId) const;
    /// \returns the outcome of the publication at \a offset, if it was decided recently.
    std::optional<publication_result> publicationOutcomeAt(std::int64_t offset) const;
    const config_log_counters &counters() const { return m_counters; }

private:
    struct decided_publication
    {
        std::string id;
        publication_result result;
    };

    void updateFirstOffset(std::int64_t first);
    void applyRecord(const log_record &record, time_point now);
    void applyPublication(const publication &record, std::int64_t offset);
    void applySnapshot(config_snapshot record, std::int64_t offset);
    void install(config_set set, std::int64_t version);
    template <typename Condition>
    std::optional<publication_result> findDecided(Condition condition) const;
    void recordOutcome(const publication &record, publication_result result);

    snapshot_schedule m_schedule;
    std::shared_ptr<const config_set> m_current;
    std::int64_t m_version = -1;
    std::int64_t m_covered = -1;
    std::int64_t m_next = 0;
    std::int64_t m_first = 0;
    std::int64_t m_end = -1; ///< End of the log at the last read; -1 before the first read.
    std::int64_t m_relayed = -1; ///< Highest offset that a peer relayed.
    bool m_continuous = true; ///< False while records between m_covered and m_next are missing.
    std::deque<decided_publication> m_decided; ///< Oldest first.
    config_log_counters m_counters;
};

} // namespace tamarackridge
