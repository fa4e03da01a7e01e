#pragma once

#include "deployment.h"

namespace review {

/// \brief A request with the headers that all callers send.
http_message requestOf(const std::string &method, const std::string &target,
                       const std::string &requestId, milliseconds timeBudget,
                       const std::string &body = {});

/// \brief What became of the requests of kept connections.
struct caller_counts
{
    std::size_t sent = 0;
    std::size_t served = 0; ///< Answered by the server, completely.
    std::size_t refused = 0; ///< Answered by the system itself.
    std::size_t closed = 0; ///< The connection ended without a complete answer.
    std::size_t unanswered = 0; ///< Nothing came until half a second after the time budget.
    /// Ids of the closed requests that were sent on a connection that had carried others before.
    std::vector<std::string> closedOnKept;
};

/// \brief Callers of one machine, each with a connection that it keeps for its requests.
class kept_callers
{
public:
    kept_callers(const machine &place, std::size_t count, event_record &record);
    kept_callers(const kept_callers &) = delete;
    kept_callers &operator=(const kept_callers &) = delete;
    ~kept_callers();

    /// \brief Ends the callers after their last answer.
    caller_counts finish();

private:
    void call(std::size_t number);
    void add(read_end end, const http_message &response, const std::string &id, bool isKept);

    machine m_place;
    event_record &m_record;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    caller_counts m_counts;
    std::vector<std::thread> m_threads;
};

} // namespace review
