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

/// \brief Rate and burst that the executions of a customer must not exceed.
struct customer_bound
{
    double rate = 0; ///< Requests per second.
    double burst = 0;
};

/// \brief Checks the safety guarantees from outside, by sends, responses and executions alone.
///
/// A marker identifies one request across all of its sends. If a write is refused, no execution may
/// ever take place under the request id of the refused send, neither before nor after the refusal.
class oracle
{
public:
    /// \brief Sets the bound of a customer; customers without one aren't checked.
    void setCustomerBound(const std::string &customer, customer_bound bound);
    /// \brief Records that a caller sent a request.
    /// \param id request id of the send; empty for reads and for a write that has none yet. A write
    /// without an id is never executed.
    void sent(const std::string &marker, const std::string &customer, bool isWrite,
              const std::string &id, time_point now);
    /// \brief Records the response to the send with request id \a id.
    void answered(const std::string &marker, const http_response &response, const std::string &id,
                  time_point now);

    /// \param executions of all backend servers; the markers of onward calls contain a slash.
    /// \param maxWait longest time that a request can wait between admission and execution.
    /// \returns one line per violation of a guarantee.
    std::vector<std::string> violations(const std::vector<execution_record> &executions,
                                        duration maxWait) const;

    std::size_t completeResponses() const { return m_completeResponses; }
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

    /// \returns whether a send under an id other than \a id was made by \a began, so that the
    /// execution which began then may belong to that send.
    static bool sentEarlierUnderAnotherId(const request_record &request, const std::string &id,
                                          time_point began);
    static std::string describeHistory(const request_record &request,
                                       const std::vector<const execution_record *> &runs);
    void checkRequest(const std::string &marker, const request_record &request,
                      const std::vector<const execution_record *> &runs,
                      std::vector<std::string> &out) const;
    void checkRates(const std::vector<execution_record> &executions, duration maxWait,
                    std::vector<std::string> &out) const;

    std::map<std::string, customer_bound> m_bounds;
    std::map<std::string, request_record> m_requests;
    std::size_t m_completeResponses = 0;
};

} // namespace tamarackridge::scenario
