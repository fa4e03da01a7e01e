#include "tamarackridge/src/quarantine/crash_tracker.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <set>
#include <utility>

namespace tamarackridge {
namespace {

// Upper bounds of decoded fields.
constexpr std::int64_t maxGeneration = 1'000'000'000;
constexpr std::int64_t maxCrashes = 1000;
constexpr std::int64_t maxRemainingMs = 3'600'000;

/// \brief Fields of a payload: generation, crashes, quarantined (0 or 1), remaining time in ms.
using payload_fields = std::array<std::int64_t, 4>;

std::optional<payload_fields> parsePayload(std::string_view text)
{
    payload_fields fields{};
    const char *position = text.data();
    const char *end = text.data() + text.size();
    for (std::size_t index = 0; index < fields.size(); ++index) {
        if (index > 0) {
            if (position == end || *position != ' ')
                return std::nullopt;
            ++position;
        }
        const std::from_chars_result result = std::from_chars(position, end, fields[index]);
        if (result.ec != std::errc() || fields[index] < 0)
            return std::nullopt;
        position = result.ptr;
    }
    if (position != end || fields[0] > maxGeneration || fields[1] > maxCrashes || fields[2] > 1
        || fields[3] > maxRemainingMs)
        return std::nullopt;
    return fields;
}

} // namespace

std::optional<crash_summary> summaryOf(const overlay_entry &entry)
{
    const std::optional<payload_fields> fields = parsePayload(entry.payload);
    if (!fields)
        return std::nullopt;
    return crash_summary{static_cast<std::uint32_t>((*fields)[1]), (*fields)[2] != 0};
}

crash_tracker::crash_tracker(quarantine_options options)
    : m_options(options)
{ }

fingerprint crash_tracker::computeFingerprint(const fingerprint_source &source)
{
    ++m_fingerprintsComputed;
    return fingerprintOf(source.parts());
}

const crash_tracker::quarantine_state *
crash_tracker::findActive(const fingerprint &requestFingerprint, time_point now) const
{
    const auto found = m_entries.find(requestFingerprint);
    if (found == m_entries.end() || found->second.crashes == 0 || found->second.expiresAt <= now)
        return nullptr;
    return &found->second;
}

std::size_t crash_tracker::countUnresolvedSuspects(time_point now)
{
    std::size_t count = 0;
    for (active_run &run : m_activeRuns)
        count += findActive(fingerprintOfRun(run), now) != nullptr ? 1 : 0;
    for (const interrupted_run &run : m_interruptedRuns) {
        const bool isRecent = now - run.interruptedAt < m_options.interruptionHold;
        count += isRecent && findActive(run.requestFingerprint, now) != nullptr ? 1 : 0;
    }
    return count;
}

const fingerprint &crash_tracker::fingerprintOfRun(active_run &run)
{
    if (!run.requestFingerprint)
        run.requestFingerprint = computeFingerprint(*run.source);
    return *run.requestFingerprint;
}

run_decision crash_tracker::permissionFor(const fingerprint_source &source, time_point now)
{
    run_decision decision;
    if (m_entries.empty())
        return decision;
    decision.requestFingerprint = computeFingerprint(source);
    const quarantine_state *state = findActive(*decision.requestFingerprint, now);
    if (state == nullptr)
        return decision;
    if (state->quarantined)
        decision.permission = run_permission::refuse;
    else if (countUnresolvedSuspects(now) > 0)
        decision.permission = run_permission::wait;
    else
        decision.permission = run_permission::run_alone;
    return decision;
}

void crash_tracker::onRunStarted(run_id run, const fingerprint_source &source,
                                 const run_decision &decision)
{
    m_activeRuns.push_back({run, &source, decision.requestFingerprint, ++m_startCount});
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
        const fingerprint requestFingerprint = fingerprintOfRun(*found);
        const quarantine_state *state = findActive(requestFingerprint, now);
        if (state != nullptr && !state->quarantined) {
            quarantine_state &entry = m_entries[requestFingerprint];
            entry = {entry.generation + 1, 0, false, now + m_options.suspectPeriod};
            updates.push_back(encode(requestFingerprint, entry, now));
        }
    }
    *found = m_activeRuns.back();
    m_activeRuns.pop_back();
    return updates;
}

std::optional<fingerprint> crash_tracker::onRunInterrupted(run_id run, time_point now)
{
    const auto found = std::ranges::find(m_activeRuns, run, &active_run::run);
    if (found == m_activeRuns.end())
        return std::nullopt;
    const fingerprint requestFingerprint = fingerprintOfRun(*found);
    if (m_interruptedRuns.size() >= m_options.maxInterruptedRuns)
        m_interruptedRuns.pop_front();
    m_interruptedRuns.push_back({requestFingerprint, now, m_startCount});
    *found = m_activeRuns.back();
    m_activeRuns.pop_back();
    return requestFingerprint;
}

std::vector<overlay_entry> crash_tracker::onCrash(time_point now)
{
    std::vector<overlay_entry> updates;
    const std::set<fingerprint> fingerprints = takePossibleCauses(now);
    std::set<fingerprint> suspects;
    std::ranges::copy_if(fingerprints, std::inserter(suspects, suspects.end()),
                         [this, now](const fingerprint &requestFingerprint) {
                             return findActive(requestFingerprint, now) != nullptr;
                         });
    if (suspects.size() == 1) {
        // The crash is attributed to the only suspect; the other running requests do not become
        // suspects.
        updates.push_back(recordCrash(*suspects.begin(), true, now));
    } else {
        for (const fingerprint &requestFingerprint : fingerprints)
            updates.push_back(recordCrash(requestFingerprint, false, now));
    }
    evictExcessEntries();
    return updates;
}

std::set<fingerprint> crash_tracker::takePossibleCauses(time_point now)
{
    std::set<fingerprint> causes;
    for (active_run &run : m_activeRuns)
        causes.insert(fingerprintOfRun(run));
    m_activeRuns.clear();
    dropOldInterruptions(now);
    for (const interrupted_run &run : m_interruptedRuns)
        causes.insert(run.requestFingerprint);
    m_interruptedRuns.clear();
    return causes;
}

void crash_tracker::dropOldInterruptions(time_point now)
{
    std::erase_if(m_interruptedRuns, [this, now](const interrupted_run &run) {
        return now - run.interruptedAt >= m_options.interruptionPeriod;
    });
}

overlay_entry crash_tracker::recordCrash(const fingerprint &requestFingerprint, bool setQuarantined,
                                         time_point now)
{
    quarantine_state &entry = m_entries[requestFingerprint];
    if (entry.expiresAt <= now && entry.crashes > 0) // Expired: starts a new generation.
        entry = {entry.generation + 1, 0, false, now};
    ++entry.crashes;
    entry.quarantined = entry.quarantined || setQuarantined;
    entry.expiresAt =
            now + (entry.quarantined ? m_options.quarantinePeriod : m_options.suspectPeriod);
    return encode(requestFingerprint, entry, now);
}

overlay_entry crash_tracker::encode(const fingerprint &requestFingerprint,
                                    const quarantine_state &state, time_point now) const
{
    const std::int64_t remaining =
            std::chrono::ceil<std::chrono::milliseconds>(state.expiresAt - now).count();
    overlay_entry entry;
    entry.kind = entry_kind::quarantine;
    entry.key = toString(requestFingerprint);
    entry.version.counter = (static_cast<std::uint64_t>(state.generation) << 16U)
                            + (state.quarantined ? 1U << 15U : 0U)
                            + std::min<std::uint32_t>(state.crashes, maxCrashes);
    entry.payload = std::to_string(state.generation) + ' ' + std::to_string(state.crashes) + ' '
                    + (state.quarantined ? "1 " : "0 ") + std::to_string(remaining);
    return entry;
}

bool crash_tracker::onEntry(std::string_view key, std::string_view payload, time_point now)
{
    const std::optional<fingerprint> requestFingerprint = parseFingerprint(key);
    const std::optional<payload_fields> fields = parsePayload(payload);
    if (!requestFingerprint || !fields)
        return false;
    const auto &[generation, crashes, quarantined, remainingMs] = *fields;
    const quarantine_state peer{static_cast<std::uint32_t>(generation),
                                static_cast<std::uint32_t>(crashes), quarantined != 0,
                                now + std::chrono::milliseconds(remainingMs)};
    const auto found = m_entries.find(*requestFingerprint);
    if (found != m_entries.end() && found->second.expiresAt > now
        && !supersedes(peer, found->second)) {
        // For equal entries the earlier expiry is kept, so that a delayed copy does not extend the
        // entry.
        if (!supersedes(found->second, peer))
            found->second.expiresAt = std::min(found->second.expiresAt, peer.expiresAt);
        return false;
    }
    if (remainingMs == 0)
        return false;
    m_entries[*requestFingerprint] = peer;
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
