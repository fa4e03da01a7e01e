#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tamarackridge::scenario {

/// \brief Fake platform log with retention, outages and lost responses.
class virtual_log
{
public:
    struct read_result
    {
        std::vector<log_record> records;
        std::int64_t first = 0; ///< Lowest offset still retained.
        std::int64_t end = 0; ///< Offset of the next record to be appended.
    };

    explicit virtual_log(duration retention)
        : m_retention(retention)
    { }

    /// \returns the offset of the record.
    tl::expected<std::int64_t, error_kind> append(const std::string &stream, std::string data,
                                                  time_point now);
    /// \returns the retained records of a stream from offset \a from on.
    tl::expected<read_result, error_kind> read(const std::string &stream, std::int64_t from,
                                               time_point now);

    void setAvailable(bool available) { m_available = available; }
    /// \brief Lets the next \a count appends store their record but return an error.
    void loseNextResponses(int count) { m_responsesToLose = count; }
    /// \returns the number of records stored so far.
    std::uint64_t appends() const { return m_appends; }

private:
    struct stored_record
    {
        std::int64_t offset = 0;
        time_point acceptedAt;
        std::string data;
    };
    struct stream_state
    {
        std::deque<stored_record> records;
        std::int64_t end = 0;
    };

    /// \brief Removes the records whose age has reached the retention.
    void removeExpired(stream_state &stream, time_point now) const;

    duration m_retention;
    std::map<std::string, stream_state> m_streams;
    bool m_available = true;
    int m_responsesToLose = 0;
    std::uint64_t m_appends = 0;
};

} // namespace tamarackridge::scenario
