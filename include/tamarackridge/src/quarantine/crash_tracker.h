#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/quarantine/crash_record.h"
#include "tamarackridge/src/quarantine/fingerprint.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackridge {

/// \brief Settings of a crash_tracker.
struct quarantine_options
{
    duration suspectPeriod = std::chrono::seconds(60); ///< Since the last crash or clearing.
    duration quarantinePeriod = std::chrono::minutes(10); ///< Since the last crash.
    std::size_t maxEntries = 4096; ///< When exceeded, the oldest suspects are evicted first.
    /// How long an interrupted run may be attributed to a crash that is noticed later.
    duration interruptionPeriod = std::chrono::seconds(30);
    /// How long an interrupted suspect keeps other suspects from running. A crash is usually
    /// noticed sooner, by the next connection.
    duration interruptionHold = std::chrono::milliseconds(200);
    std::size_t maxInterruptedRuns = 1024; ///< When exceeded, the oldest are dropped.
};

/// \brief Whether a request may run on this node's backend server now.
enum class run_permission : std::uint8_t {
    run, ///< The request is not a suspect.
    run_alone, ///< The request is a suspect, and no other suspect is running here.
    wait, ///< The request is a suspect, and another suspect is running here or has just been
          ///< interrupted. Ask again later.
    refuse, ///< The request is quarantined; it is refused with `request_quarantined`.
};

/// \brief Result of crash_tracker::permissionFor().
struct run_decision
{
    run_permission permission = run_permission::run;
    /// Set if it was computed; avoids computing it again.
    std::optional<request_identity> identity;
    /// What is quarantined if the run is refused: the request, or only its variant.
    fingerprint quarantined;
};

/// \brief Detects the requests that crash this node's backend server.
///
/// All requests that are running during a crash become suspects. Suspects run one at a time: a
/// suspect that gets a response is cleared, and the only suspect running during another crash is
/// quarantined. While no suspects are known, no identity is computed.
///
/// A crash makes both the request and its variant suspects. A second crash of the same variant
/// quarantines the variant, so that other variants of the request are not refused; a crash of
/// another variant quarantines the request.
///
/// A crash ends its runs before anything else shows it, so interrupted runs are kept as possible
/// causes until the server responds to a later run.
///
/// \code
/// run_decision decision = tracker.permissionFor(source, now);
/// if (decision.permission == run_permission::run)
///     tracker.onRunStarted(run, source, decision);
/// std::vector<overlay_entry> updates = tracker.onRunFinished(run, true, now);
/// \endcode
class crash_tracker
{
public:
    explicit crash_tracker(quarantine_options options = {});

    /// \brief Decides whether a request may run; must be called before each run.
    run_decision permissionFor(const fingerprint_source &source, time_point now);

    /// \brief Records the start of a run.
    /// \param source must stay valid until onRunFinished() or onCrash().
    void onRunStarted(run_id run, const fingerprint_source &source, const run_decision &decision);
    /// \brief Records the end of a run without a crash.
    /// \param success whether the backend server responded.
    /// \returns the changed entries, to be sent to the peers.
    std::vector<overlay_entry> onRunFinished(run_id run, bool success, time_point now);
    /// \brief Records that a run ended without a response although the backend server may have
    /// begun it. A crash that is noticed later may be attributed to it.
    /// \returns the identity of the request; nothing if \a run is not known.
    std::optional<request_identity> onRunInterrupted(run_id run, time_point now);
    /// \brief Records a crash of the backend server, which ends all runs.
    /// \returns the changed entries, to be sent to the peers.
    std::vector<overlay_entry> onCrash(time_point now);

    /// \brief Merges an entry received from a peer. The later generation takes precedence, then a
    /// quarantined state, then the higher number of crashes.
    /// \returns whether this node's state changed, in which case the entry must be forwarded.
    bool onEntry(std::string_view key, std::string_view payload, time_point now);
    /// \returns the entry with its remaining duration, for sending it again; nothing if unknown.
    std::optional<overlay_entry> entry(std::string_view key, time_point now) const;
    /// \brief Removes expired entries.
    ///
    /// Must be called every few seconds, since permissionFor() computes an identity as long as
    /// any entry is stored.
    void expire(time_point now);

    std::size_t entryCount() const { return m_entries.size(); }
    /// \returns the number of identities computed so far.
    std::uint64_t identitiesComputed() const { return m_identitiesComputed; }

private:
    /// \brief State of a request or variant; a later generation replaces an earlier one.
    struct quarantine_state
    {
        std::uint32_t generation = 0; ///< Incremented by each clearing or expiry.
        std::uint32_t crashes = 0; ///< 0 when cleared.
        bool quarantined = false;
        time_point expiresAt;
    };
    struct active_run
    {
        run_id run = 0;
        const fingerprint_source *source = nullptr;
        std::optional<request_identity> identity;
        std::uint64_t startNumber = 0;
    };
    /// A run that ended without a response.
    struct interrupted_run
    {
        request_identity identity;
        time_point interruptedAt;
        std::uint64_t lastStart = 0; ///< Number of the last run that had started by then.
    };

    request_identity computeIdentity(const fingerprint_source &source);
    const quarantine_state *findActive(const fingerprint &subject, time_point now) const;
    /// \returns whether the request or its variant has crashed servers.
    bool isSuspect(const request_identity &identity, time_point now) const;
    std::size_t countUnresolvedSuspects(time_point now);
    const request_identity &identityOfRun(active_run &run);
    static bool supersedes(const quarantine_state &peer, const quarantine_state &known);
    static overlay_entry encode(const fingerprint &subject, const quarantine_state &state,
                                time_point now);
    overlay_entry recordCrash(const fingerprint &subject, bool setQuarantined, time_point now);
    /// \brief Clears \a subject if it is a suspect.
    void clear(const fingerprint &subject, time_point now, std::vector<overlay_entry> &updates);
    /// \brief Quarantines the request that the only \a suspects of a crash have in common.
    std::vector<overlay_entry> quarantine(const std::vector<request_identity> &suspects,
                                          time_point now);
    void evictExcessEntries();
    /// \returns the requests that were running or interrupted, which are then forgotten.
    std::set<request_identity> takePossibleCauses(time_point now);
    void dropOldInterruptions(time_point now);

    quarantine_options m_options;
    std::unordered_map<fingerprint, quarantine_state, internal::fingerprint_hash> m_entries;
    std::vector<active_run> m_activeRuns;
    std::deque<interrupted_run> m_interruptedRuns; ///< In the order of their interruption.
    std::uint64_t m_startCount = 0;
    std::uint64_t m_identitiesComputed = 0;
};

} // namespace tamarackridge
