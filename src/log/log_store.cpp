#include "log/log_store.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace tamarackridge {
namespace {

constexpr std::size_t maxStreamNameBytes = 64;

bool isStreamName(std::string_view name)
{
    return !name.empty() && name.size() <= maxStreamNameBytes
           && std::all_of(name.begin(), name.end(), [](char c) {
                  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
              });
}

/// \returns the length in bytes of the UTF-8 sequence at the start of \a text, or 0 if it is
/// invalid.
std::size_t utf8SequenceLength(std::string_view text)
{
    const auto byte = [text](std::size_t index) { return static_cast<unsigned char>(text[index]); };
    const unsigned char lead = byte(0);
    if (lead < 0x80)
        return 1;
    const std::size_t length = lead >= 0xc2 && lead < 0xe0   ? 2
                               : lead >= 0xe0 && lead < 0xf0 ? 3
                               : lead >= 0xf0 && lead < 0xf5 ? 4
                                                             : 0;
    if (length == 0 || text.size() < length)
        return 0;
    for (std::size_t index = 1; index < length; ++index) {
        if (byte(index) < 0x80 || byte(index) > 0xbf)
            return 0;
    }
    // The second byte reveals overlong forms, surrogates and code points above U+10FFFF.
    const unsigned char second = byte(1);
    const bool invalid = (lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f)
                         || (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f);
    return invalid ? 0 : length;
}

/// Records have to be valid UTF-8 because pages are JSON, which cannot carry arbitrary bytes.
bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = utf8SequenceLength(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

} // namespace

log_store::log_store(log_limits limits)
    : m_limits(limits)
    , m_tokens(limits.maxAppendsPerSecond)
{ }

tl::expected<std::int64_t, append_rejection> log_store::append(const std::string &stream,
                                                               std::string data, time_point now)
{
    if (!isStreamName(stream))
        return tl::unexpected(append_rejection::stream_name_invalid);
    if (data.empty())
        return tl::unexpected(append_rejection::record_empty);
    if (data.size() > m_limits.maxRecordBytes)
        return tl::unexpected(append_rejection::record_too_large);
    if (!isUtf8(data))
        return tl::unexpected(append_rejection::record_not_text);
    if (!m_streams.contains(stream) && m_streams.size() >= m_limits.maxStreams)
        return tl::unexpected(append_rejection::too_many_streams);
    if (!consumeToken(now))
        return tl::unexpected(append_rejection::rate_limited);
    stream_state &state = m_streams[stream];
    state.records.push_back({now, std::move(data)});
    enforceRetention(state, now);
    return state.end() - 1;
}

stream_page log_store::read(const std::string &stream, std::int64_t from, std::size_t maxRecords,
                            time_point now)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return {};
    stream_state &state = found->second;
    enforceRetention(state, now);
    stream_page page{state.first, state.end(), {}};
    std::size_t bytes = 0;
    for (std::int64_t offset = std::max(from, state.first);
         offset < page.next && page.records.size() < maxRecords; ++offset) {
        const stored_record &record = state.records[offset - state.first];
        bytes += record.data.size();
        if (!page.records.empty() && bytes > m_limits.maxPageBytes)
            break;
        page.records.push_back({offset, now - record.acceptedAt, record.data});
    }
    return page;
}

void log_store::trimBelow(const std::string &stream, std::int64_t offset)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    stream_state &state = found->second;
    while (state.first < offset && !state.records.empty()) {
        state.records.pop_front();
        ++state.first;
    }
}

bool log_store::consumeToken(time_point now)
{
    const double capacity = m_limits.maxAppendsPerSecond;
    const double seconds = std::chrono::duration<double>(now - m_tokensUpdatedAt).count();
    m_tokens = std::min(capacity, m_tokens + std::max(seconds, 0.0) * capacity);
    m_tokensUpdatedAt = std::max(m_tokensUpdatedAt, now);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void log_store::enforceRetention(stream_state &stream, time_point now) const
{
    while (!stream.records.empty()
           && (stream.records.size() > m_limits.maxRecordsPerStream
               || now - stream.records.front().acceptedAt > m_limits.retention)) {
        stream.records.pop_front();
        ++stream.first;
    }
}

} // namespace tamarackridge
