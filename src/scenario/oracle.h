#pragma once

#include "scenario/virtual_backend.h"
#include "tamarackridge/src/base/http_message.h"
#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::scenario {

/// \brief Rate and burst that the oracle holds a customer to.
struct customer_bound
{
    double rate = 0; ///< Requests per second.
    double burst = 0;
};

/// \brief Checks the safety points from outside: it sees sends, answers and executions only.
///
/// A marker names one request over all of its sends. A refusal of a write is held to the request id
/// of the refused send: nothing may ever run under that id, neither before nor after the refusal.
class oracle
{
public:
    void expectCustomer(const std::string &customer, customer_bound bound);
    /// \param id request id of the send; a write without one can never run.
    void sent(const std::string &marker, const std::string &customer, bool isWrite,
              const std::string &id, time_point now);
    void answered(const std::string &marker, const http_response &response, const std::string &id,
                  time_point now);

    /// \param executions of all backend servers; onward calls have markers with a slash.
    /// \param longestWait time between admission and execution that a request can spend waiting.
    /// \returns one line per violation.
    std::vector<std::string> violations(const std::vector<execution_record> &executions,
                                        duration longestWait) const;

    std::size_t wholeResponses() const { return m_wholeResponses; }
    std::size_t requests() const { return m_requests.size(); }

private:
    struct response_record
    {
        time_point when;
        std::string state;
        int status = 0;
        std::string body;
        std::string id;
    };
    struct send_record
    {
        time_point when;
        std::string id;
    };
    struct request_record
    {
        std::string customer;
        bool isWrite = false;
        std::vector<send_record> sends;
        std::vector<response_record> responses;
    };

    static bool ranUnderAnotherId(const request_record &request, const std::string &id,
                                  time_point began);
    static std::string historyOf(const request_record &request,
                                 const std::vector<const execution_record *> &runs);
    void checkRequest(const std::string &marker, const request_record &request,
                      const std::vector<const execution_record *> &runs,
                      std::vector<std::string> &out) const;
    void checkRates(const std::vector<execution_record> &executions, duration longestWait,
                    std::vector<std::string> &out) const;

    std::map<std::string, customer_bound> m_bounds;
    std::map<std::string, request_record> m_requests;
    std::size_t m_wholeResponses = 0;
};

} // namespace tamarackridge::scenario
