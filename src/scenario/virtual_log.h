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

/// \brief Fake platform log with outages, lost answers and retention.
class virtual_log
{
public:
    struct read_result
    {
        std::vector<log_record> records;
        std::int64_t first = 0;
        std::int64_t end = 0;
    };

    explicit virtual_log(duration retention)
        : m_retention(retention)
    { }

    tl::expected<std::int64_t, error_kind> append(const std::string &stream, std::string data,
                                                  time_point now);
    tl::expected<read_result, error_kind> read(const std::string &stream, std::int64_t from,
                                               time_point now);

    void setAvailable(bool available) { m_available = available; }
    /// \brief The next \a count appends take effect but report an error.
    void loseResponses(int count) { m_lostResponses = count; }
    std::uint64_t appends() const { return m_appends; }

private:
    struct stored
    {
        std::int64_t offset = 0;
        time_point accepted;
        std::string data;
    };
    struct stream_state
    {
        std::deque<stored> records;
        std::int64_t end = 0;
    };

    void expire(stream_state &stream, time_point now) const;

    duration m_retention;
    std::map<std::string, stream_state> m_streams;
    bool m_available = true;
    int m_lostResponses = 0;
    std::uint64_t m_appends = 0;
};

} // namespace tamarackridge::scenario
