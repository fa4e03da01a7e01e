#pragma once

#include "backend/journal.h"
#include "backend/load_reporter.h"
#include "backend/onward.h"
#include "backend/service_time.h"
#include "backend/slot_limiter.h"

#include <atomic>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge::backend {

/// \brief Settings of a backend server stand-in.
struct server_options
{
    std::string service;
    std::string instance;
    std::uint32_t slots = 16;
    std::uint32_t queue = 16;
    service_time serviceTime;
    std::size_t responseBytes = 256;
    std::chrono::milliseconds loadLag{0};
    double loadFactor = 1.0;
    std::string journalPath;
    onward_options onward;
};

/// \brief A request received by the HTTP server.
struct server_request
{
    std::string_view method;
    std::string_view path;
    std::string_view loadId; ///< Id assigned by the load generator; empty for other callers.
    std::string_view handle; ///< `Tamarackridge-Handle`, passed on to onward calls.
    std::string_view body;
    std::optional<std::chrono::milliseconds> deadline; ///< Time left on arrival.
    bool crash = false; ///< Crashes the process when the request starts to run.
    int descriptor = -1; ///< Socket, used to detect that the caller has closed it.
};

/// \brief Response of the backend server stand-in.
struct server_response
{
    unsigned status = 0;
    std::string body;
};

/// \brief Runs requests: admission, simulated service time, onward calls, journal and fault
/// injection.
class request_handler
{
public:
    explicit request_handler(server_options options);

    /// \brief Serves one request; blocks until the response is known.
    server_response handle(const server_request &request);

    /// \returns the numbers of running and waiting requests.
    request_counts load() const { return m_limiter.load(); }

private:
    server_response ping() const;
    server_response reportLoad();
    server_response control(const server_request &request);
    server_response serve(const server_request &request);
    server_response execute(const server_request &request, steady_time_point deadline);
    /// \returns the outcome written to the journal.
    std::string_view runToOutcome(const server_request &request, steady_time_point deadline);
    /// \returns false if the caller closed the connection in the meantime.
    bool waitWhileFrozen(const server_request &request) const;
    /// \brief Writes an event of the request to the journal.
    void recordEvent(const server_request &request, std::string_view event,
                     std::string_view outcome = {});
    service_time currentServiceTime() const;

    const server_options m_options;
    const steady_time_point m_start;
    slot_limiter m_limiter;
    load_reporter m_load;
    journal m_journal;
    onward_caller m_onward;
    std::atomic<bool> m_frozen = false;
    mutable std::mutex m_mutex;
    service_time m_serviceTime;
};

} // namespace tamarackridge::backend
