#include "tamarackridge/src/quarantine/crash_tracker.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace tamarackridge {
crash_tracker::crash_tracker(quarantine_options options)
    : m_options(options)
{ }

request_identity crash_tracker::computeIdentity(const fingerprint_source &source)
{
    ++m_identitiesComputed;
    return identityOf(source.parts());
}

const crash_tracker::quarantine_state *crash_tracker::findActive(const fingerprint &subject,
                                                                 time_point now) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end() || found->second.crashes == 0 || found->second.expiresAt <= now)
        return nullptr;
    return &found->second;
}

bool crash_tracker::isSuspect(const request_identity &identity, time_point now) const
{
    return findActive(identity.request, now) != nullptr
           || findActive(identity.variant, now) != nullptr;
}

std::size_t crash_tracker::countUnresolvedSuspects(time_point now)
{
    std::size_t count = 0;
    for (active_run &run : m_activeRuns)
        count += isSuspect(identityOfRun(run), now) ? 1 : 0;
    for (const interrupted_run &run : m_interruptedRuns) {
        const bool isRecent = now - run.interruptedAt < m_options.interruptionHold;
        count += isRecent && isSuspect(run.identity, now) ? 1 : 0;
    }
    return count;
}

const request_identity &crash_tracker::identityOfRun(active_run &run)
{
    if (!run.identity)
        run.identity = computeIdentity(*run.source);
    return *run.identity;
}

run_decision crash_tracker::permissionFor(const fingerprint_source &source, time_point now)
{
    run_decision decision;
    if (m_entries.empty())
        return decision;
    decision.identity = computeIdentity(source);
    bool isSuspected = false;
    for (const fingerprint &subject : {decision.identity->request, decision.identity->variant}) {
        const quarantine_state *state = findActive(subject, now);
        if (state != nullptr && state->quarantined) {
            decision.permission = run_permission::refuse;
            decision.quarantined = subject;
            return decision;
        }
        isSuspected = isSuspected || state != nullptr;
    }
    if (isSuspected)
        decision.permission =
                countUnresolvedSuspects(now) > 0 ? run_permission::wait : run_permission::run_alone;
    return decision;
}

void crash_tracker::onRunStarted(run_id run, const fingerprint_source &source,
                                 const run_decision &decision)
{
    m_activeRuns.push_back({run, &source, decision.identity, ++m_startCount});
}

std::vector<overlay_entry> crash_tracker::onRunFinished(run_id run, bool success, time_point now)
{
    std::vector<overlay_entry> updates;
    const auto found = std::ranges::find(m_activeRuns, run, &active_run::run);
    if (found == m_activeRuns.end())
        return updates;
    if (success) {
        // The response shows that the server survived what interrupted earlier runs.
        const std::uint64_t startNumber = found->startNumber;
        std::erase_if(m_interruptedRuns, [startNumber](const interrupted_run &interrupted) {
            return interrupted.lastStart < startNumber;
        });
    }
    if (success && !m_entries.empty()) {
        const request_identity identity = identityOfRun(*found);
        clear(identity.request, now, updates);
        clear(identity.variant, now, updates);
    }
    *found = m_activeRuns.back();
    m_activeRuns.pop_back();
    return updates;
}

void crash_tracker::clear(const fingerprint &subject, time_point now,
                          std::vector<overlay_entry> &updates)
{
    const quarantine_state *state = findActive(subject, now);
    if (state == nullptr || state->quarantined)
        return;
    quarantine_state &entry = m_entries[subject];
    entry = {entry.generation + 1, 0, false, now + m_options.suspectPeriod};
    updates.push_back(encode(subject, entry, now));
}

std::optional<request_identity> crash_tracker::onRunInterrupted(run_id run, time_point now)
{
    const auto found = std::ranges::find(m_activeRuns, run, &active_run::run);
    if (found == m_activeRuns.end())
        return std::nullopt;
    const request_identity identity = identityOfRun(*found);
    if (m_interruptedRuns.size() >= m_options.maxInterruptedRuns)
        m_interruptedRuns.pop_front();
    m_interruptedRuns.push_back({identity, now, m_startCount});
    *found = m_activeRuns.back();
    m_activeRuns.pop_back();
    return identity;
}

std::vector<overlay_entry> crash_tracker::onCrash(time_point now)
{
    const std::set<request_identity> causes = takePossibleCauses(now);
    std::vector<request_identity> suspects;
    std::ranges::copy_if(
            causes, std::back_inserter(suspects),
            [this, now](const request_identity &identity) { return isSuspect(identity, now); });
    const bool isOneRequest =
            !suspects.empty()
            && std::ranges::all_of(suspects, [&suspects](const request_identity &identity) {
                   return identity.request == suspects.front().request;
               });
    std::vector<overlay_entry> updates;
    if (isOneRequest) {
        // The crash is attributed to the only suspect; the other running requests do not become
        // suspects.
        updates = quarantine(suspects, now);
    } else {
        std::set<fingerprint> subjects;
        for (const request_identity &identity : causes)
            subjects.insert({identity.request, identity.variant});
        for (const fingerprint &subject : subjects)
            updates.push_back(recordCrash(subject, false, now));
    }
    evictExcessEntries();
    return updates;
}

std::vector<overlay_entry> crash_tracker::quarantine(const std::vector<request_identity> &suspects,
                                                     time_point now)
{
    const auto &[request, variant] = suspects.front();
    const bool isKnownVariant =
            suspects.size() == 1 && variant != request && findActive(variant, now) != nullptr;
    std::vector<overlay_entry> updates{recordCrash(request, !isKnownVariant, now)};
    if (isKnownVariant)
        updates.push_back(recordCrash(variant, true, now));
    return updates;
}

std::set<request_identity> crash_tracker::takePossibleCauses(time_point now)
{
    std::set<request_identity> causes;
    for (active_run &run : m_activeRuns)
        causes.insert(identityOfRun(run));
    m_activeRuns.clear();
    dropOldInterruptions(now);
    for (const interrupted_run &run : m_interruptedRuns)
        causes.insert(run.identity);
    m_interruptedRuns.clear();
    return causes;
}

void crash_tracker::dropOldInterruptions(time_point now)
{
    std::erase_if(m_interruptedRuns, [this, now](const interrupted_run &run) {
        return now - run.interruptedAt >= m_options.interruptionPeriod;
    });
}

overlay_entry crash_tracker::recordCrash(const fingerprint &subject, bool setQuarantined,
                                         time_point now)
{
    quarantine_state &entry = m_entries[subject];
    if (entry.expiresAt <= now && entry.crashes > 0) // Expired: starts a new generation.
        entry = {entry.generation + 1, 0, false, now};
    ++entry.crashes;
    entry.quarantined = entry.quarantined || setQuarantined;
    entry.expiresAt =
            now + (entry.quarantined ? m_options.quarantinePeriod : m_options.suspectPeriod);
    return encode(subject, entry, now);
}

overlay_entry crash_tracker::encode(const fingerprint &subject, const quarantine_state &state,
                                    time_point now)
{
    return encodeCrashRecord(
            {subject, state.generation, state.crashes, state.quarantined, state.expiresAt - now});
}

bool crash_tracker::onEntry(std::string_view key, std::string_view payload, time_point now)
{
    const std::optional<crash_record> record = decodeCrashRecord(key, payload);
    if (!record)
        return false;
    const quarantine_state peer{record->generation, record->crashes, record->quarantined,
                                now + record->remaining};
    const auto found = m_entries.find(record->subject);
    if (found != m_entries.end() && found->second.expiresAt > now
        && !supersedes(peer, found->second)) {
        // For equal entries the earlier expiry is kept, so that a delayed copy does not extend the
        // entry.
        if (!supersedes(found->second, peer))
            found->second.expiresAt = std::min(found->second.expiresAt, peer.expiresAt);
        return false;
    }
    if (record->remaining == duration::zero())
        return false;
    m_entries[record->subject] = peer;
    evictExcessEntries();
    return true;
}

bool crash_tracker::supersedes(const quarantine_state &peer, const quarantine_state &known)
{
    if (peer.generation != known.generation)
        return peer.generation > known.generation;
    if (peer.quarantined != known.quarantined)
        return peer.quarantined;
    return peer.crashes > known.crashes;
}

std::optional<overlay_entry> crash_tracker::entry(std::string_view key, time_point now) const
{
    const std::optional<fingerprint> requestFingerprint = parseFingerprint(key);
    if (!requestFingerprint)
        return std::nullopt;
    const auto found = m_entries.find(*requestFingerprint);
    if (found == m_entries.end() || found->second.expiresAt <= now)
        return std::nullopt;
    return encode(*requestFingerprint, found->second, now);
}

void crash_tracker::expire(time_point now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    dropOldInterruptions(now);
}

void crash_tracker::evictExcessEntries()
{
    while (m_entries.size() > m_options.maxEntries) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &entry) {
            return std::pair(entry.second.quarantined, entry.second.expiresAt);
        }));
    }
}

} // namespace tamarackridge
