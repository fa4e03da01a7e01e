#pragma once

#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/ledger/ledger.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/overload/attempt_budget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackridge {

/// \brief A request that runs on the local backend server, with the context for its onward calls.
struct running_request
{
    run_id run = 0;
    request_context context;
    onward_attempts attempts; ///< Attempts that onward calls may still use.
    time_point deadline;
    time_point chainStart;
    std::map<std::string, ledger_key, std::less<>> onwardIds; ///< Ledger keys by `Idempotency-Key`.
};

/// \brief Handles that backend servers send with onward calls, and the requests they belong to.
///
/// A handle is valid while its request runs. It is random, so a backend server can neither guess
/// one nor construct one with more rights.
class handle_table
{
public:
    explicit handle_table(random_source &random)
        : m_random(random)
    { }

    /// \brief Registers a running request.
    /// \returns its handle, 32 hexadecimal digits.
    std::string open(running_request request);
    /// \returns the running request of \a handle, or null if the handle is not valid on this node.
    running_request *find(std::string_view handle);
    /// \returns the running request of \a run, or null if there is none.
    running_request *findRun(run_id run);
    /// \brief Invalidates the handle of \a run.
    void close(run_id run);
    std::size_t size() const { return m_requests.size(); }

private:
    random_source &m_random;
    std::map<std::string, running_request, std::less<>> m_requests;
    std::unordered_map<run_id, std::string> m_handles;
};

} // namespace tamarackridge
