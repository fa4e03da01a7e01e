#pragma once

#include "core/node/dispatcher.h"
#include "core/node/node_counters.h"
#include "core/sidecar/sidecar_quota.h"
#include "tamarackridge/src/sidecar/route_table.h"
#include "tamarackridge/src/sidecar/sidecar_core.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarackridge::internal {

/// \brief Accepts the requests of callers on this VM, finds their route and customer, and reports
/// their outcome.
class sidecar_request_handler
{
public:
    sidecar_request_handler(const sidecar_options &options, dispatcher &target,
                            const executor &localExecutor, sidecar_quota &quota,
                            node_counters &counters, decision_observer &observer);

    void install(std::shared_ptr<route_table> table);
    const route_table *table() const { return m_table.get(); }

    void callerRequest(call_id call, http_request request, time_point now, action_list &out);
    void callerDisconnected(call_id call, time_point now, action_list &out);
    void outcome(dispatcher::request_number owned, request_outcome result, time_point now,
                 action_list &out);

    /// \brief Retries the requests that wait for tokens of their customer.
    void tokensArrived(time_point now, action_list &out);
    /// \brief Refuses the requests whose wait for tokens has timed out.
    void tick(time_point now, action_list &out);

    /// \brief Bounds the requests that are admitted and the attempts that begin from now on, so
    /// that none of them is in progress when the process exits.
    /// \param admissionEnd from then on, requests of callers are refused.
    void beginShutdown(time_point admissionEnd, time_point exitAt);
    /// \brief Responds to all requests in progress, whose outcome is not waited for any longer.
    void endUnfinished(time_point now, action_list &out);

    bool idle() const { return m_requests.empty() && m_waiting.empty(); }
    std::size_t size() const { return m_requests.size() + m_waiting.size(); }

private:
    struct pending
    {
        call_id call = 0;
        std::string requestId;
        std::string route;
        std::string service;
        std::string customer;
        bool idempotent = false;
        duration objective{};
        std::uint32_t attempts = 0; ///< Maximum that the route allows.
        time_point arrivedAt;
    };

    /// Limits of a process that is shutting down.
    struct shutdown_limits
    {
        time_point admissionEnd; ///< For requests of callers.
        time_point completeBy; ///< Deadline of every request that is admitted or sent again.
    };

    /// A request that waits for tokens of its customer.
    struct waiting_request
    {
        pending item;
        owned_request work;
    };

    /// \returns whether a request has to be refused because the process will exit too soon.
    bool exitsTooSoon(const published_route &route, bool hasCustomer, time_point now) const;
    void recordLatency(const std::string &route, duration elapsed);
    tl::expected<owned_request, error_kind> admit(pending &item, http_request &request,
                                                  time_point now);
    void begin(pending item, owned_request work, time_point now, action_list &out);
    void refuse(const pending &item, error_kind kind, time_point now, action_list &out);
    tl::expected<const published_customer *, error_kind> customerOf(const published_route &route,
                                                                    const http_request &request);
    std::vector<http_header> forwardedHeaders(std::vector<http_header> received,
                                              const std::string &customer) const;
    void respond(const pending &item, request_outcome result, time_point now, action_list &out);

    const sidecar_options &m_options;
    dispatcher &m_dispatcher;
    const executor &m_executor;
    sidecar_quota &m_quota;
    node_counters &m_counters;
    decision_observer &m_observer;
    std::shared_ptr<route_table> m_table;
    std::optional<shutdown_limits> m_shutdown;
    /// By route: the longest time that a response of a server took, which decays with each
    /// response.
    std::unordered_map<std::string, duration> m_longestLatencies;
    std::vector<waiting_request> m_waiting; ///< In order of arrival.
    std::unordered_map<dispatcher::request_number, pending> m_requests;
    std::unordered_map<call_id, dispatcher::request_number> m_byCall;
};

} // namespace tamarackridge::internal
