#pragma once

#include "log/log_store.h"
#include "tamarackridge/src/base/http_message.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Query of a read, as texts; absent ones take their defaults.
struct read_query
{
    std::optional<std::string> from;
    std::optional<std::string> max;
    std::optional<std::string> waitMs;
};

/// \brief The log's HTTP operations without HTTP: thread-safe, with long polls and faults.
///
/// Every answer has a JSON body; errors are `{"error": kind, "message": text}`.
class log_service
{
public:
    explicit log_service(log_limits limits);

    /// \brief `POST /streams/{name}/records`
    http_response append(const std::string &stream, std::string data);
    /// \brief `GET /streams/{name}/records`; waits for a record if there is none to return.
    http_response read(const std::string &stream, const read_query &query);
    /// \brief `POST /faults`; the fields that are present replace the present faults.
    http_response setFaults(std::string_view body);
    /// \brief `GET /faults`
    http_response showFaults();
    /// \brief Ends all long polls; for shutdown.
    void close();
    std::size_t maxRecordBytes() const { return m_recordBytes; }

private:
    struct fault_state
    {
        time_point unavailableUntil{};
        duration delay{};
        std::uint32_t lostResponses = 0; ///< Appends that take effect without a proper answer.
    };

    bool unavailable() const;
    void applyDelay();
    bool loseResponse();
    http_response errorResponse() const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    log_store m_store;
    std::size_t m_recordBytes;
    fault_state m_faults;
    bool m_closed = false;
};

} // namespace tamarackridge
