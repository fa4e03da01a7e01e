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
// The clocks of VMs differ, so that a record that has expired here may be valid elsewhere.
constexpr seconds clockTolerance(60);

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

bool isCleared(const stored_crash &crash)
{
    return crash.record.crashes == 0;
}

} // namespace

crash_log::crash_log(platform_gateway &platform, random_source &random, read_handler read)
    : m_platform(platform)
    , m_random(random)
    , m_read(std::move(read))
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
                    return;
                }
                m_retryDelay.reset();
                m_hasRead = true;
                takeList(list.value_or(std::vector<stored_crash>()));
            });
}

void crash_log::takeList(const std::vector<stored_crash> &list)
{
    const seconds now = unixTime();
    std::vector<crash_record> valid;
    std::vector<fingerprint> expired;
    for (const stored_crash &item : list) {
        const seconds expiresAt(item.expiresAt);
        if (expiresAt + clockTolerance < now)
            expired.push_back(item.record.subject);
        if (expiresAt <= now)
            continue;
        valid.push_back(item.record);
        valid.back().remaining = std::min<duration>(expiresAt - now, maxRemaining(item.record));
        m_entries.try_emplace(item.record.subject,
                              entry{item, monotonicNow() + valid.back().remaining, 0, true, false});
    }
    // Drawn at random: nodes that start together, and read the same expired records, erase
    // different ones.
    if (!expired.empty())
        record({expired[m_random.below(expired.size())], 0, 0, false, {}});
    m_read(valid);
    flush();
}

void crash_log::record(const crash_record &record)
{
    if (m_entries.size() >= maxEntries && !m_entries.contains(record.subject)
        && !record.quarantined)
        return;
    const auto [found, isNew] = m_entries.try_emplace(record.subject);
    entry &item = found->second;
    item.crash = {record, (unixTime() + std::chrono::ceil<seconds>(record.remaining)).count()};
    item.expiresAt = monotonicNow() + record.remaining;
    setChanged(item);
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
    if (!succeeded) {
        recordFailure();
        return;
    }
    m_retryDelay.reset();
    for (const written_record &record : records) {
        const auto found = m_entries.find(record.subject);
        if (found == m_entries.end() || found->second.revision != record.revision)
            continue;
        found->second.recorded = true;
        --m_unrecorded;
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

void crash_log::sweep(time_point now)
{
    if (now < m_retryAt)
        return;
    if (!m_hasRead && !m_reading)
        read();
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        entry &known = item->second;
        if (now < known.expiresAt || isCleared(known.crash)) {
            ++item;
        } else if (known.written) {
            known.crash.record.crashes = 0;
            setChanged(known);
            ++item;
        } else {
            m_unrecorded -= known.recorded ? 0 : 1;
            item = m_entries.erase(item);
        }
    }
    flush();
}

} // namespace tamarackridge
