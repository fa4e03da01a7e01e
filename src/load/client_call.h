#pragma once

#include "load/plan.h"
#include "load/request_record.h"

#include "tamarackridge/src/base/random_source.h"

#include <optional>
#include <string>

namespace tamarackridge::load {

/// \brief What one send of a request led to.
struct send_result
{
    bool answered = false; ///< A whole HTTP answer arrived in time.
    long status = 0;
    bool expectedBody = false;
    std::string error; ///< `Tamarackridge-Error`.
    std::string runState; ///< `Tamarackridge-Run-State`.
    std::string issuedId; ///< `Tamarackridge-Request-Id`.
};

/// \brief A customer's request and its sends, without any I/O.
class client_call
{
public:
    client_call(const load_customer &customer, request_record record);

    /// \brief Takes the result of a send.
    /// \param now time since the start of the run.
    /// \returns the pause before the next send, or nothing when the request has ended.
    std::optional<duration> sendEnded(const send_result &result, duration now,
                                      random_source &random);

    /// \brief Ends the request without a result, at the end of the run.
    void abandon(duration now);

    request_record record; ///< Complete once the request has ended.
    std::string requestId; ///< Request id to send; empty: none.

private:
    bool mayRetry(const send_result &result) const;
    duration pause(random_source &random) const;

    const load_customer *m_customer;
    unsigned m_retries = 0;
};

} // namespace tamarackridge::load
