#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include "tamarackridge/src/base/random_source.h"

#include <optional>
#include <string>

namespace tamarackridge::load {

/// \brief Result of one send of a request.
struct send_result
{
    bool responseReceived = false; ///< A complete HTTP response arrived before the timeout.
    long status = 0;
    bool bodyMatches = false;
    std::string error; ///< `Tamarackridge-Error`.
    std::string runState; ///< `Tamarackridge-Run-State`.
    std::string issuedId; ///< `Tamarackridge-Request-Id`.
};

/// \brief State of a customer's request across all its sends; performs no I/O.
class client_call
{
public:
    client_call(const load_customer &customer, request_record record);

    /// \brief Records the result of a send and decides whether to send again.
    /// \param now time since the start of the run.
    /// \returns the delay before the next send, or nothing if the request has finished.
    std::optional<duration> sendEnded(const send_result &result, duration now,
                                      random_source &random);

    /// \brief Finishes a request that is still outstanding at the end of the run as `no_response`.
    void abandon(duration now);

    request_record record; ///< Complete once the request has finished.
    std::string requestId; ///< Request id to send; empty if there is none.

private:
    bool mayRetry(const send_result &result) const;
    duration retryDelay(random_source &random) const;

    const load_customer *m_customer;
    unsigned m_retries = 0;
};

} // namespace tamarackridge::load
