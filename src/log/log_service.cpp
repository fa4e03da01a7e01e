#include "log/log_service.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <chrono>
#include <thread>

namespace tamarackridge {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t defaultPageRecords = 500;
constexpr std::int64_t maxPageRecords = 1000;
constexpr std::int64_t maxWaitMs = 30'000;
constexpr std::int64_t maxDelayMs = 60'000;
constexpr std::int64_t maxUnavailableMs = 86'400'000;

time_point currentTime()
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

http_response response(int status, const json &body)
{
    return {status,
            {{"Content-Type", "application/json"}},
            std::make_shared<const std::string>(body.dump())};
}

http_response errorResponse(int status, std::string_view kind, std::string_view message)
{
    return response(status, {{"error", kind}, {"message", message}});
}

http_response unavailableResponse()
{
    return errorResponse(503, "unavailable", "The log is unavailable; nothing was appended.");
}

struct rejection_response
{
    int status;
    std::string_view kind;
    std::string_view message;
};

/// Indexed by append_rejection.
constexpr std::array<rejection_response, 6> rejections = {{
        {400, "stream_name_invalid",
         "A stream name has 1 to 64 lower-case letters, digits, '-' and '_'."},
        {409, "too_many_streams", "The log holds as many streams as it may."},
        {400, "record_empty", "A record needs at least one byte."},
        {413, "record_too_large", "The record is larger than this log accepts."},
        {400, "record_not_text", "A record must be valid UTF-8."},
        {429, "rate_limited", "The log takes no more appends in this second."},
}};

/// \returns the number, \a fallback if \a text is absent, or std::nullopt if \a text is not a
/// number in [\a minValue, \a maxValue].
std::optional<std::int64_t> parseNumberInRange(const std::optional<std::string> &text,
                                               std::int64_t minValue, std::int64_t maxValue,
                                               std::int64_t fallback)
{
    if (!text)
        return fallback;
    std::int64_t value = 0;
    const char *const end = text->data() + text->size();
    const std::from_chars_result result = std::from_chars(text->data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || value < minValue || value > maxValue)
        return std::nullopt;
    return value;
}

json pageJson(const stream_page &page)
{
    json records = json::array();
    for (const log_record &record : page.records) {
        records.push_back({{"offset", record.offset},
                           {"age_ms", std::chrono::duration_cast<milliseconds>(record.age).count()},
                           {"data", record.data}});
    }
    return {{"first", page.first}, {"next", page.next}, {"records", std::move(records)}};
}

json faultStateJson(time_point unavailableUntil, duration delay, std::uint32_t lostResponses)
{
    const duration left = std::max(unavailableUntil - currentTime(), duration{});
    return {{"unavailable_ms", std::chrono::duration_cast<milliseconds>(left).count()},
            {"delay_ms", std::chrono::duration_cast<milliseconds>(delay).count()},
            {"applied_but_lost", lostResponses}};
}

/// \brief Body of a `POST /faults`; absent fields leave the current state unchanged.
struct fault_request
{
    std::optional<std::int64_t> unavailableMs;
    std::optional<std::int64_t> delayMs;
    std::optional<std::int64_t> lostResponses;
    std::optional<std::pair<std::string, std::int64_t>> trim;
};

/// \brief Reads an integer in [0, \a maxValue] into \a target.
/// \returns false if \a value is anything else.
bool readNumber(const json &value, std::int64_t maxValue, std::optional<std::int64_t> &target)
{
    if (!value.is_number_integer() || value < 0 || value > maxValue)
        return false;
    target = value.get<std::int64_t>();
    return true;
}

bool readTrim(const json &value, fault_request &request)
{
    std::optional<std::int64_t> offset;
    if (!value.is_object() || value.size() != 2 || !value.contains("stream")
        || !value.contains("offset") || !value["stream"].is_string()
        || !readNumber(value["offset"], INT64_MAX, offset))
        return false;
    request.trim = {value["stream"].get<std::string>(), *offset};
    return true;
}

/// \returns the parsed request, or the name of the first invalid field.
tl::expected<fault_request, std::string> parseFaults(std::string_view body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return tl::unexpected(std::string("(body)"));
    fault_request request;
    for (const auto &[name, field] : value.items()) {
        const bool valid = name == "unavailable_ms"
                                   ? readNumber(field, maxUnavailableMs, request.unavailableMs)
                           : name == "delay_ms" ? readNumber(field, maxDelayMs, request.delayMs)
                           : name == "applied_but_lost"
                                   ? readNumber(field, 1'000'000, request.lostResponses)
                           : name == "trim_below" ? readTrim(field, request)
                                                  : false;
        if (!valid)
            return tl::unexpected(name);
    }
    return request;
}

} // namespace

log_service::log_service(log_limits limits)
    : m_store(limits)
    , m_maxRecordBytes(limits.maxRecordBytes)
{ }

bool log_service::unavailable() const
{
    return m_closed || currentTime() < m_faults.unavailableUntil;
}

void log_service::applyDelay()
{
    std::unique_lock lock(m_mutex);
    const duration delay = m_faults.delay;
    m_changed.wait_for(lock, delay, [this] { return m_closed; });
}

bool log_service::consumeLostResponse()
{
    if (m_faults.lostResponses == 0)
        return false;
    --m_faults.lostResponses;
    return true;
}

http_response log_service::append(const std::string &stream, std::string data)
{
    applyDelay();
    const std::lock_guard lock(m_mutex);
    if (unavailable())
        return unavailableResponse();
    const tl::expected<std::int64_t, append_rejection> offset =
            m_store.append(stream, std::move(data), currentTime());
    if (!offset) {
        const rejection_response &rejection = rejections[static_cast<std::size_t>(offset.error())];
        return errorResponse(rejection.status, rejection.kind, rejection.message);
    }
    m_changed.notify_all();
    if (consumeLostResponse())
        return errorResponse(504, "answer_lost", "Whether the append took effect is not known.");
    return response(200, {{"offset", *offset}});
}

http_response log_service::read(const std::string &stream, const read_query &query)
{
    const std::optional<std::int64_t> from = parseNumberInRange(query.from, 0, INT64_MAX, 0);
    const std::optional<std::int64_t> max =
            parseNumberInRange(query.max, 1, maxPageRecords, defaultPageRecords);
    const std::optional<std::int64_t> wait = parseNumberInRange(query.waitMs, 0, maxWaitMs, 0);
    if (!from || !max || !wait)
        return errorResponse(400, "query_invalid",
                             "Expected from >= 0, max from 1 to 1000 and wait_ms from 0 to 30000.");
    applyDelay();
    std::unique_lock lock(m_mutex);
    stream_page page;
    m_changed.wait_for(lock, milliseconds(*wait), [&] {
        if (unavailable())
            return true;
        page = m_store.read(stream, *from, static_cast<std::size_t>(*max), currentTime());
        return !page.records.empty();
    });
    if (unavailable())
        return unavailableResponse();
    // Reads again so that the ages are relative to now, also after a long poll without a record.
    page = m_store.read(stream, *from, static_cast<std::size_t>(*max), currentTime());
    lock.unlock();
    return response(200, pageJson(page));
}

http_response log_service::setFaults(std::string_view body)
{
    const tl::expected<fault_request, std::string> request = parseFaults(body);
    if (!request)
        return errorResponse(400, "faults_invalid",
                             "Unknown field or value out of range: " + request.error());
    const std::lock_guard lock(m_mutex);
    if (request->unavailableMs)
        m_faults.unavailableUntil = currentTime() + milliseconds(*request->unavailableMs);
    if (request->delayMs)
        m_faults.delay = milliseconds(*request->delayMs);
    if (request->lostResponses)
        m_faults.lostResponses = static_cast<std::uint32_t>(*request->lostResponses);
    if (request->trim)
        m_store.trimBelow(request->trim->first, request->trim->second);
    m_changed.notify_all();
    return faultStateResponse();
}

http_response log_service::showFaults()
{
    const std::lock_guard lock(m_mutex);
    return faultStateResponse();
}

http_response log_service::faultStateResponse() const
{
    return response(
            200, faultStateJson(m_faults.unavailableUntil, m_faults.delay, m_faults.lostResponses));
}

void log_service::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

} // namespace tamarackridge
