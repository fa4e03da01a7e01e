#pragma once

#include "sidecar/platform_gateway.h"
#include "sidecar/retry_delay.h"
#include "tamarackridge/src/base/random_source.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tamarackridge {

/// \brief Records in the platform's store which requests crashed backend servers, and reads this
/// when the process starts, so that it is known after all processes have ended.
///
/// Records expire. Another node may have recorded the same request anew meanwhile, so they are
/// erased only if the store still has them some time later. Failed calls are repeated by sweep().
class crash_log
{
public:
    using read_handler = std::function<void(const std::vector<crash_record> &records)>;

    /// \param read is called once, when the records have been read.
    /// \param clockTolerance by which the clocks of VMs may differ: a record that has expired here
    /// may be valid elsewhere.
    crash_log(platform_gateway &platform, random_source &random, read_handler read,
              duration clockTolerance = std::chrono::seconds(60));

    /// \brief Reads the records until that succeeds.
    void start();
    /// \brief Records \a record with the next flush, in place of an earlier one of its subject.
    void record(const crash_record &record);
    /// \brief Like record(), if this process has written a record of the subject or is going to.
    /// Must be called for what other nodes record.
    void update(const crash_record &record);
    /// \brief Writes what has been recorded in one call, unless a call is in progress or has just
    /// failed.
    void flush();
    /// \brief Must be called when the store may have lost what it had confirmed.
    void storeRestored();
    /// \brief Must be called a few times a second.
    void sweep(time_point now);
    /// \returns the number of records that the store has not confirmed.
    std::size_t unrecorded() const { return m_unrecorded; }
    /// \returns the number of failed calls to the store.
    std::uint64_t errors() const { return m_errors; }

private:
    struct entry
    {
        stored_crash crash;
        time_point expiresAt;
        std::uint32_t revision = 0; ///< Of the content; a write confirms the revision it contains.
        bool recorded = true;
        bool written = false; ///< By this process.
    };
    /// A record that a write contains.
    struct written_record
    {
        fingerprint subject;
        std::uint32_t revision = 0;
    };

    /// \brief Reads the records, for the first time or to erase those that have expired.
    void read();
    void takeList(const std::vector<stored_crash> &list);
    void eraseExpired(const std::vector<fingerprint> &subjects);
    /// \brief Forgets expired records.
    void dropExpired(time_point now);
    void written(const std::vector<written_record> &records, bool succeeded);
    void recordFailure();
    /// \brief Marks \a item as changed, to be written with the next flush.
    void setChanged(entry &item);

    platform_gateway &m_platform;
    random_source &m_random;
    read_handler m_read;
    duration m_clockTolerance;
    std::map<fingerprint, entry> m_entries;
    std::size_t m_unrecorded = 0;
    retry_delay m_retryDelay;
    time_point m_retryAt; ///< No call is made before.
    std::optional<time_point> m_eraseAt; ///< Expired records are erased then.
    std::uint64_t m_errors = 0;
    bool m_reading = false;
    bool m_hasRead = false;
    bool m_writing = false;
};

} // namespace tamarackridge
