#pragma once

#include "backend/journal.h"
#include "backend/load_endpoint.h"
#include "backend/onward.h"
#include "backend/service_time.h"
#include "backend/slot_gate.h"

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

/// \brief A request as the HTTP server received it.
struct server_request
{
    std::string_view method;
    std::string_view path;
    std::string_view loadId;
    std::string_view handle;
    std::string_view body;
    std::optional<std::chrono::milliseconds> deadline; ///< Time left when it arrived.
    bool crash = false; ///< Ends the process when the request runs.
    int descriptor = -1; ///< Socket, to notice that the caller went away.
};

/// \brief Answer of the backend server stand-in.
struct server_response
{
    unsigned status = 0;
    std::string body;
};

/// \brief Runs requests: admission, service time, onward calls, journal and faults.
class request_handler
{
public:
    explicit request_handler(server_options options);

    /// \brief Serves one request; blocks for as long as it takes.
    server_response handle(const server_request &request);

    /// \returns requests running and waiting.
    gate_load load() const { return m_gate.load(); }

private:
    server_response ping() const;
    server_response reportLoad();
    server_response control(const server_request &request);
    server_response serve(const server_request &request);
    server_response execute(const server_request &request, steady_time deadline);
    std::string_view work(const server_request &request, steady_time deadline);
    bool waitWhileFrozen(const server_request &request) const;
    void note(const server_request &request, std::string_view event, std::string_view outcome = {});
    service_time currentServiceTime() const;

    const server_options m_options;
    const steady_time m_start;
    slot_gate m_gate;
    load_endpoint m_load;
    journal m_journal;
    onward_caller m_onward;
    std::atomic<bool> m_frozen = false;
    mutable std::mutex m_mutex;
    service_time m_serviceTime;
};

} // namespace tamarackridge::backend
