#pragma once

#include "log/stream_page.h"
#include "tamarackridge/src/base/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tamarackridge {

/// \brief Limits of the log.
struct log_limits
{
    duration retention = std::chrono::hours(24);
    std::size_t maxRecordsPerStream = 100'000;
    std::size_t maxRecordBytes = std::size_t{4} << 20U;
    /// Exceeded only by a page with a single larger record.
    std::size_t maxPageBytes = std::size_t{8} << 20U;
    std::size_t maxStreams = 64;
    std::uint32_t maxAppendsPerSecond = 400; ///< Over all streams.
};

/// \brief Why an append was rejected. A rejected append has no effect.
enum class append_rejection : std::uint8_t {
    stream_name_invalid,
    too_many_streams,
    record_empty,
    record_too_large,
    record_not_text,
    rate_limited,
};

/// \brief Holds streams of records in memory, with retention by age and count.
///
/// \code
/// log_store store(log_limits{});
/// store.append("config", "data", now); // 0
/// store.read("config", 0, 10, now).records.size(); // 1
/// \endcode
class log_store
{
public:
    explicit log_store(log_limits limits);

    /// \returns the offset assigned to the record.
    tl::expected<std::int64_t, append_rejection> append(const std::string &stream, std::string data,
                                                        time_point now);
    /// \param from first offset to read; if it is below the oldest retained offset, reading starts
    /// there.
    stream_page read(const std::string &stream, std::int64_t from, std::size_t maxRecords,
                     time_point now);
    /// \brief Drops the records of \a stream below \a offset.
    void trimBelow(const std::string &stream, std::int64_t offset);
    const log_limits &limits() const { return m_limits; }

private:
    struct stored_record
    {
        time_point acceptedAt;
        std::string data;
    };
    struct stream_state
    {
        std::int64_t first = 0;
        std::deque<stored_record> records;
        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };

    bool consumeToken(time_point now);
    /// \brief Drops the records that exceed the retention period or the maximum count.
    void enforceRetention(stream_state &stream, time_point now) const;

    log_limits m_limits;
    std::map<std::string, stream_state> m_streams;
    double m_tokens;
    time_point m_tokensUpdatedAt{};
};

} // namespace tamarackridge
