#pragma once

#include "soak_caller.h"

namespace tamarackridge::soak {

/// \brief Sends the same request, which crashes the servers that run it, through the sidecars of
/// all VMs in turn for a while.
class crashing_caller
{
public:
    crashing_caller(const caller_context &context, std::size_t vms, std::size_t number,
                    duration length)
        : m_context(context)
        , m_vms(vms)
        , m_name("s" + std::to_string(context.seed) + "-crash" + std::to_string(number))
        , m_target("/read" + std::string(crashingPath) + std::to_string(number))
        , m_end(monotonicNow() + length)
        , m_timer(context.loop)
    {
        send();
    }

private:
    static constexpr milliseconds interval{150};
    static constexpr milliseconds budget{2000};

    void send()
    {
        if (m_context.stopped || monotonicNow() >= m_end)
            return;
        const std::size_t vm = m_count % m_vms;
        const std::string id = m_name + '-' + std::to_string(++m_count);
        const http_request request{
                "GET",
                m_target,
                {{"Host", "shop.example"},
                 {std::string(names::requestId), id},
                 {std::string(names::apiKey), "key-open"},
                 {std::string(names::deadlineMilliseconds), std::to_string(budget.count())}},
                nullptr};
        const std::shared_ptr<http_connection> connection =
                http_connection::create(m_context.loop, deployment::address(vm, endpoint::callers));
        m_context.checker.sent(id, vm, true, false, monotonicNow() + budget);
        const std::shared_ptr<boost::asio::steady_timer> limit =
                std::make_shared<boost::asio::steady_timer>(m_context.loop,
                                                            budget + milliseconds(500));
        limit->async_wait([connection, limit](error_code error) {
            if (!error)
                connection->close(exchange_outcome::timeout);
        });
        connection->exchange(request, {}, time_point::max(),
                             [this, id, connection, limit](const exchange_result &result) {
                                 limit->cancel();
                                 ended(id, result);
                                 connection->close(exchange_outcome::cancelled);
                             });
        m_timer.expires_after(interval);
        m_timer.async_wait([this](error_code error) {
            if (!error)
                send();
        });
    }

    void ended(const std::string &id, const exchange_result &result)
    {
        if (result.end == exchange_outcome::completed)
            m_context.checker.completed(id, result.response);
        else if (result.end == exchange_outcome::broken)
            m_context.checker.broken(id);
        else
            m_context.checker.ended(id, "no connection, or the caller gave up");
    }

    const caller_context &m_context;
    std::size_t m_vms;
    std::string m_name;
    std::string m_target;
    time_point m_end;
    boost::asio::steady_timer m_timer;
    std::size_t m_count = 0;
};

} // namespace tamarackridge::soak
