#pragma once

#include "log/log_store.h"
#include "tamarackridge/src/base/http_message.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Unparsed query parameters of a read; absent ones take their default values.
struct read_query
{
    std::optional<std::string> from;
    std::optional<std::string> max;
    std::optional<std::string> waitMs;
};

/// \brief Implements the operations of the log's HTTP interface, including long polls and fault
/// injection, independently of an HTTP server. Thread-safe.
///
/// Every response has a JSON body; errors are `{"error": kind, "message": text}`.
class log_service
{
public:
    explicit log_service(log_limits limits);

    /// \brief `POST /streams/{name}/records`
    http_response append(const std::string &stream, std::string data);
    /// \brief `GET /streams/{name}/records`; waits up to `wait_ms` if there is no record to return.
    http_response read(const std::string &stream, const read_query &query);
    /// \brief `POST /faults`; sets the faults that are given and keeps the others.
    http_response setFaults(std::string_view body);
    /// \brief `GET /faults`
    http_response showFaults();
    /// \brief Ends all long polls and rejects further requests; called at shutdown.
    void close();
    std::size_t maxRecordBytes() const { return m_maxRecordBytes; }

private:
    struct fault_state
    {
        time_point unavailableUntil{};
        duration delay{};
        /// Number of further appends that take effect but are responded to with 504.
        std::uint32_t lostResponses = 0;
    };

    bool unavailable() const;
    void applyDelay();
    /// \returns whether the response to the current append is to be lost; counts it down if so.
    bool consumeLostResponse();
    http_response faultStateResponse() const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    log_store m_store;
    std::size_t m_maxRecordBytes;
    fault_state m_faults;
    bool m_closed = false;
};

} // namespace tamarackridge
