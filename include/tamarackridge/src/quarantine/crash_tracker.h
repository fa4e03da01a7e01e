#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/quarantine/fingerprint.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackridge {

/// \brief Durations and bounds of quarantine.
struct quarantine_options
{
    duration suspectFor = std::chrono::seconds(60);
    duration convictFor = std::chrono::minutes(10);
    std::size_t maxEntries = 4096; ///< Beyond this, the oldest suspect is dropped.
};

/// \brief Whether a request may run on the own backend server now.
enum class run_permission : std::uint8_t {
    run, ///< Not a suspect.
    run_alone, ///< A suspect, and no other suspect is running here.
    wait, ///< A suspect, while another one is running here.
    refuse, ///< Convicted: `request_quarantined`.
};

/// \brief Answer of crash_tracker::permissionFor().
struct run_decision
{
    run_permission permission = run_permission::run;
    std::optional<fingerprint> print; ///< Set when it was computed; spares a second computation.
};

/// \brief Finds the requests that crash the own backend server.
///
/// While no suspects are known, no fingerprint is computed.
///
/// \code
/// run_decision decision = tracker.permissionFor(source, now);
/// if (decision.permission == run_permission::run)
///     tracker.onRunStarted(run, source, decision);
/// std::vector<overlay_entry> spread = tracker.onRunFinished(run, true, now);
/// \endcode
class crash_tracker
{
public:
    explicit crash_tracker(quarantine_options options = {});

    /// \brief Decides about a request before it runs here.
    run_decision permissionFor(const fingerprint_source &source, time_point now);

    /// \brief A run begins. \a source stays valid until onRunFinished() or onCrash().
    void onRunStarted(run_id run, const fingerprint_source &source, const run_decision &decision);
    /// \brief A run ended without a crash; \a success when the backend server answered it.
    /// \returns entries to spread.
    std::vector<overlay_entry> onRunFinished(run_id run, bool success, time_point now);
    /// \brief The backend server crashed; all runs end.
    /// \returns entries to spread.
    std::vector<overlay_entry> onCrash(time_point now);

    /// \brief Merges an entry of a peer: the later generation wins, then a conviction, then the
    /// higher number of crashes.
    /// \returns whether it changed what this node knows, so that it is to be spread further.
    bool onEntry(std::string_view key, std::string_view payload, time_point now);
    /// \returns an entry with the durations that are left now, for spreading it again.
    std::optional<overlay_entry> entry(std::string_view key, time_point now) const;
    /// \brief Forgets what has expired; called every few seconds, since permissionFor() computes a
    /// fingerprint as long as any entry is kept.
    void expire(time_point now);

    std::size_t entryCount() const { return m_entries.size(); }
    /// \returns how often a fingerprint was computed.
    std::uint64_t fingerprintsComputed() const { return m_computed; }

private:
    /// \brief What is known about a fingerprint; a later generation replaces an earlier one.
    struct suspect
    {
        std::uint32_t generation = 0; ///< Raised by each clearing.
        std::uint32_t crashes = 0; ///< 0 when cleared.
        bool convicted = false;
        time_point until;
    };
    struct running
    {
        run_id run = 0;
        const fingerprint_source *source = nullptr;
        std::optional<fingerprint> print;
    };

    fingerprint compute(const fingerprint_source &source);
    const suspect *active(const fingerprint &print, time_point now) const;
    std::size_t suspectsRunning(time_point now);
    const fingerprint &printOf(running &run);
    static bool newer(const suspect &peer, const suspect &own);
    overlay_entry encode(const fingerprint &print, const suspect &state, time_point now) const;
    overlay_entry addCrash(const fingerprint &print, bool convict, time_point now);
    void makeRoom();

    quarantine_options m_options;
    std::unordered_map<fingerprint, suspect, internal::fingerprint_hash> m_entries;
    std::vector<running> m_running;
    std::uint64_t m_computed = 0;
};

} // namespace tamarackridge
