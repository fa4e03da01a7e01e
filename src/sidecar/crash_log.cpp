#include "sidecar/crash_log.h"

#include "process/monotonic_time.h"
#include "tamarackridge/src/quarantine/crash_tracker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

using std::chrono::seconds;

// Bounds the memory; as many as a crash_tracker holds.
constexpr std::size_t maxEntries = 4096;
// A record takes about 120 bytes, and the store accepts 2 MB a call.
constexpr std::size_t maxRecordsPerCall = 500;

seconds unixTime()
{
    return std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch());
}

/// \returns how long \a record lasts at most, so that a clock that is ahead extends none.
duration maxRemaining(const crash_record &record)
{
    const quarantine_options options;
    return record.quarantined ? options.quarantinePeriod : options.suspectPeriod;
}

stored_crash toStored(const crash_record &record)
{
    return {record, (unixTime() + std::chrono::ceil<seconds>(record.remaining)).count()};
}

bool isCleared(const stored_crash &crash)
{
    return crash.record.crashes == 0;
}

} // namespace

crash_log::crash_log(platform_gateway &platform, random_source &random, read_handler read,
                     duration clockTolerance)
    : m_platform(platform)
    , m_random(random)
    , m_read(std::move(read))
    , m_clockTolerance(clockTolerance)
{ }

void crash_log::start()
{
    read();
}

void crash_log::recordFailure()
{
    ++m_errors;
    m_retryAt = monotonicNow() + m_retryDelay.next();
}

void crash_log::read()
{
    m_reading = true;
    m_platform.listCrashes(
            [this](const tl::expected<std::vector<stored_crash>, store_error> &list) {
                m_reading = false;
                // A list that stays malformed must not keep the backend server from being used.
                if (!list && list.error() != store_error::malformed) {
                    recordFailure();
                    if (m_hasRead)
                        m_eraseAt = m_retryAt;
                    return;
                }
                m_retryDelay.reset();
                takeList(list.value_or(std::vector<stored_crash>()));
            });
}

void crash_log::takeList(const std::vector<stored_crash> &list)
{
    const seconds now = unixTime();
    std::vector<fingerprint> expired;
    for (const stored_crash &item : list) {
        if (seconds(item.expiresAt) + m_clockTolerance < now)
            expired.push_back(item.record.subject);
    }
    eraseExpired(expired);
    if (std::exchange(m_hasRead, true))
        return;
    std::vector<crash_record> valid;
    for (const stored_crash &item : list) {
        const seconds expiresAt(item.expiresAt);
        if (expiresAt <= now)
            continue;
        crash_record record = item.record;
        record.remaining = std::min<duration>(expiresAt - now, maxRemaining(record));
        m_entries.try_emplace(record.subject,
                              entry{toStored(record), monotonicNow() + record.remaining});
        valid.push_back(record);
    }
    m_read(valid);
}

void crash_log::eraseExpired(const std::vector<fingerprint> &subjects)
{
    if (subjects.empty())
        return;
    // Drawn at random in the first read: nodes that start together read the same expired records,
    // and erase different ones.
    const std::size_t drawn = m_random.below(subjects.size());
    for (std::size_t index = 0; index < subjects.size(); ++index) {
        const bool isKnown = m_entries.contains(subjects[index]); // And to be written anew.
        if (!isKnown && (m_hasRead || index == drawn))
            record({subjects[index], 0, 0, false, {}});
    }
    flush();
}

void crash_log::record(const crash_record &record)
{
    if (m_entries.size() >= maxEntries && !m_entries.contains(record.subject)
        && !record.quarantined)
        return;
    const auto [found, isNew] = m_entries.try_emplace(record.subject);
    entry &item = found->second;
    item.crash = toStored(record);
    item.expiresAt = monotonicNow() + record.remaining;
    setChanged(item);
}

void crash_log::update(const crash_record &newer)
{
    const auto found = m_entries.find(newer.subject);
    if (found == m_entries.end() || (found->second.recorded && !found->second.written))
        return;
    if (newer.crashes > 0) {
        record(newer);
        return;
    }
    // The other node erases the record.
    m_unrecorded -= found->second.recorded ? 0 : 1;
    m_entries.erase(found);
}

void crash_log::setChanged(entry &item)
{
    ++item.revision;
    m_unrecorded += item.recorded ? 1 : 0;
    item.recorded = false;
}

void crash_log::flush()
{
    if (m_unrecorded == 0 || m_writing || monotonicNow() < m_retryAt)
        return;
    std::vector<stored_crash> crashes;
    std::vector<written_record> records;
    for (auto &[subject, item] : m_entries) {
        if (item.recorded)
            continue;
        if (records.size() == maxRecordsPerCall)
            break;
        item.written = true;
        crashes.push_back(item.crash);
        records.push_back({subject, item.revision});
    }
    m_writing = true;
    m_platform.putCrashes(crashes,
                          [this, records = std::move(records)](
                                  const tl::expected<std::monostate, store_error> &result) {
                              written(records, result.has_value());
                          });
}

void crash_log::written(const std::vector<written_record> &records, bool succeeded)
{
    m_writing = false;
    if (succeeded)
        m_retryDelay.reset();
    else
        recordFailure();
    for (const written_record &record : records) {
        const auto found = m_entries.find(record.subject);
        if (found == m_entries.end() || found->second.revision != record.revision)
            continue;
        // A clearing is not repeated: another node may have recorded a crash by then, and a suspect
        // expires soon.
        const bool isDone = succeeded || isCleared(found->second.crash);
        found->second.recorded = isDone;
        m_unrecorded -= isDone ? 1 : 0;
        if (isCleared(found->second.crash))
            m_entries.erase(found);
    }
    flush();
}

void crash_log::storeRestored()
{
    for (auto &[subject, item] : m_entries)
        setChanged(item);
    flush();
}

void crash_log::dropExpired(time_point now)
{
    std::erase_if(m_entries, [this, now](const auto &item) {
        const entry &known = item.second;
        if (now < known.expiresAt || isCleared(known.crash))
            return false;
        m_unrecorded -= known.recorded ? 0 : 1;
        if (known.written && !m_eraseAt)
            m_eraseAt = now + m_clockTolerance + seconds(2); // The store counts whole seconds.
        return true;
    });
}

void crash_log::sweep(time_point now)
{
    dropExpired(now);
    if (now < m_retryAt)
        return;
    const bool isEraseDue = m_eraseAt && now >= *m_eraseAt;
    if ((!m_hasRead || isEraseDue) && !m_reading) {
        m_eraseAt.reset();
        read();
    }
    flush();
}

} // namespace tamarackridge
