#include "tamarackridge/src/quarantine/crash_record.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>

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

overlay_entry encodeCrashRecord(const crash_record &record)
{
    const std::int64_t remaining =
            std::chrono::ceil<std::chrono::milliseconds>(record.remaining).count();
    overlay_entry entry;
    entry.kind = entry_kind::quarantine;
    entry.key = toString(record.subject);
    entry.version.counter = (static_cast<std::uint64_t>(record.generation) << 16U)
                            + (record.quarantined ? 1U << 15U : 0U)
                            + std::min<std::uint32_t>(record.crashes, maxCrashes);
    entry.payload = std::to_string(record.generation) + ' ' + std::to_string(record.crashes) + ' '
                    + (record.quarantined ? "1 " : "0 ") + std::to_string(remaining);
    return entry;
}

std::optional<crash_record> decodeCrashRecord(std::string_view key, std::string_view payload)
{
    const std::optional<fingerprint> subject = parseFingerprint(key);
    const std::optional<payload_fields> fields = parsePayload(payload);
    if (!subject || !fields)
        return std::nullopt;
    const auto &[generation, crashes, quarantined, remainingMs] = *fields;
    return crash_record{*subject, static_cast<std::uint32_t>(generation),
                        static_cast<std::uint32_t>(crashes), quarantined != 0,
                        std::chrono::milliseconds(remainingMs)};
}

} // namespace tamarackridge
