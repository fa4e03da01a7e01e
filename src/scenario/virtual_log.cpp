#include "scenario/virtual_log.h"

namespace tamarackridge::scenario {

void virtual_log::removeExpired(stream_state &stream, time_point now) const
{
    while (!stream.records.empty() && now - stream.records.front().acceptedAt >= m_retention)
        stream.records.pop_front();
}

tl::expected<std::int64_t, error_kind> virtual_log::append(const std::string &stream,
                                                           std::string data, time_point now)
{
    if (!m_available)
        return tl::unexpected(error_kind::log_unavailable);
    ++m_appends;
    stream_state &target = m_streams[stream];
    const std::int64_t offset = target.end++;
    target.records.push_back({offset, now, std::move(data)});
    if (m_responsesToLose > 0) {
        --m_responsesToLose;
        return tl::unexpected(error_kind::log_unavailable);
    }
    return offset;
}

tl::expected<virtual_log::read_result, error_kind>
virtual_log::read(const std::string &stream, std::int64_t from, time_point now)
{
    if (!m_available)
        return tl::unexpected(error_kind::log_unavailable);
    stream_state &source = m_streams[stream];
    removeExpired(source, now);
    read_result result;
    result.end = source.end;
    result.first = source.records.empty() ? source.end : source.records.front().offset;
    for (const stored_record &record : source.records) {
        if (record.offset >= from)
            result.records.push_back({record.offset, now - record.acceptedAt, record.data});
    }
    return result;
}

} // namespace tamarackridge::scenario
