#include "tamarackridge/src/quarantine/crash_tracker.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace tamarackridge {
namespace {

// Bounds of decoded fields.
constexpr std::int64_t maxGeneration = 1'000'000'000;
constexpr std::int64_t maxCrashes = 1000;
constexpr std::int64_t maxLeftMs = 3'600'000;

/// \brief Fields of a payload: generation, crashes, convicted, time left in ms.
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
        || fields[3] > maxLeftMs)
        return std::nullopt;
    return fields;
}

} // namespace

crash_tracker::crash_tracker(quarantine_options options)
    : m_options(options)
{ }

fingerprint crash_tracker::compute(const fingerprint_source &source)
{
    ++m_computed;
    return fingerprintOf(source.parts());
}

const crash_tracker::suspect *crash_tracker::active(const fingerprint &print, time_point now) const
{
    const auto found = m_entries.find(print);
    if (found == m_entries.end() || found->second.crashes == 0 || found->second.until <= now)
        return nullptr;
    return &found->second;
}

std::size_t crash_tracker::suspectsRunning(time_point now)
{
    std::size_t count = 0;
    for (running &run : m_running)
        count += active(printOf(run), now) != nullptr ? 1 : 0;
    return count;
}

const fingerprint &crash_tracker::printOf(running &run)
{
    if (!run.print)
        run.print = compute(*run.source);
    return *run.print;
}

run_decision crash_tracker::permissionFor(const fingerprint_source &source, time_point now)
{
    run_decision decision;
    if (m_entries.empty())
        return decision;
    decision.print = compute(source);
    const suspect *state = active(*decision.print, now);
    if (state == nullptr)
        return decision;
    if (state->convicted)
        decision.permission = run_permission::refuse;
    else if (suspectsRunning(now) > 0)
        decision.permission = run_permission::wait;
    else
        decision.permission = run_permission::run_alone;
    return decision;
}

void crash_tracker::onRunStarted(run_id run, const fingerprint_source &source,
                                 const run_decision &decision)
{
    m_running.push_back({run, &source, decision.print});
}

std::vector<overlay_entry> crash_tracker::onRunFinished(run_id run, bool success, time_point now)
{
    std::vector<overlay_entry> spread;
    const auto found = std::ranges::find(m_running, run, &running::run);
    if (found == m_running.end())
        return spread;
    if (success && !m_entries.empty()) {
        const fingerprint print = printOf(*found);
        const suspect *state = active(print, now);
        if (state != nullptr && !state->convicted) {
            suspect &entry = m_entries[print];
            entry = {entry.generation + 1, 0, false, now + m_options.suspectFor};
            spread.push_back(encode(print, entry, now));
        }
    }
    *found = m_running.back();
    m_running.pop_back();
    return spread;
}

std::vector<overlay_entry> crash_tracker::onCrash(time_point now)
{
    std::vector<overlay_entry> spread;
    std::set<fingerprint> prints;
    std::set<fingerprint> suspects;
    for (running &run : m_running) {
        const fingerprint &print = printOf(run);
        prints.insert(print);
        if (active(print, now) != nullptr)
            suspects.insert(print);
    }
    m_running.clear();
    if (suspects.size() == 1) {
        // The only suspect explains the crash; the requests beside it stay unsuspected.
        spread.push_back(addCrash(*suspects.begin(), true, now));
    } else {
        for (const fingerprint &print : prints)
            spread.push_back(addCrash(print, false, now));
    }
    makeRoom();
    return spread;
}

overlay_entry crash_tracker::addCrash(const fingerprint &print, bool convict, time_point now)
{
    suspect &entry = m_entries[print];
    if (entry.until <= now && entry.crashes > 0) // Expired: a new generation begins.
        entry = {entry.generation + 1, 0, false, now};
    ++entry.crashes;
    entry.convicted = entry.convicted || convict;
    entry.until = now + (entry.convicted ? m_options.convictFor : m_options.suspectFor);
    return encode(print, entry, now);
}

overlay_entry crash_tracker::encode(const fingerprint &print, const suspect &state,
                                    time_point now) const
{
    const std::int64_t left =
            std::chrono::ceil<std::chrono::milliseconds>(state.until - now).count();
    overlay_entry entry;
    entry.kind = entry_kind::quarantine;
    entry.key = toString(print);
    entry.version.counter = (static_cast<std::uint64_t>(state.generation) << 16U)
                            + (state.convicted ? 1U << 15U : 0U)
                            + std::min<std::uint32_t>(state.crashes, maxCrashes);
    entry.payload = std::to_string(state.generation) + ' ' + std::to_string(state.crashes) + ' '
                    + (state.convicted ? "1 " : "0 ") + std::to_string(left);
    return entry;
}

bool crash_tracker::onEntry(std::string_view key, std::string_view payload, time_point now)
{
    const std::optional<fingerprint> print = parseFingerprint(key);
    const std::optional<payload_fields> fields = parsePayload(payload);
    if (!print || !fields)
        return false;
    const auto &[generation, crashes, convicted, leftMs] = *fields;
    const suspect peer{static_cast<std::uint32_t>(generation), static_cast<std::uint32_t>(crashes),
                       convicted != 0, now + std::chrono::milliseconds(leftMs)};
    const auto found = m_entries.find(*print);
    if (found != m_entries.end() && found->second.until > now && !newer(peer, found->second)) {
        // The earlier end of equal entries holds: a copy that was kept for a while must not extend
        // them.
        if (!newer(found->second, peer))
            found->second.until = std::min(found->second.until, peer.until);
        return false;
    }
    if (leftMs == 0)
        return false;
    m_entries[*print] = peer;
    makeRoom();
    return true;
}

bool crash_tracker::newer(const suspect &peer, const suspect &own)
{
    if (peer.generation != own.generation)
        return peer.generation > own.generation;
    if (peer.convicted != own.convicted)
        return peer.convicted;
    return peer.crashes > own.crashes;
}

std::optional<overlay_entry> crash_tracker::entry(std::string_view key, time_point now) const
{
    const std::optional<fingerprint> print = parseFingerprint(key);
    if (!print)
        return std::nullopt;
    const auto found = m_entries.find(*print);
    if (found == m_entries.end() || found->second.until <= now)
        return std::nullopt;
    return encode(*print, found->second, now);
}

void crash_tracker::expire(time_point now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.until <= now; });
}

void crash_tracker::makeRoom()
{
    while (m_entries.size() > m_options.maxEntries) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &entry) {
            return std::pair(entry.second.convicted, entry.second.until);
        }));
    }
}

} // namespace tamarackridge
