#pragma once

#include "soak_server.h"

namespace tamarackridge::soak {

/// \brief What all callers of a run share.
struct caller_context
{
    boost::asio::io_context &loop;
    request_checker &checker;
    std::uint64_t seed = 0;
    std::vector<caller_route> routes;
    std::function<bool(std::size_t vm)> maySend;
    std::function<void(std::size_t vm, const caller_route &route)> served;
    bool stopped = false;
};

/// \brief Sends one request after the other to the sidecar of its VM, until all callers stop.
///
/// Some callers keep their connection, some wait as Retry-After says and others return at once, and
/// some belong to a customer with a rate limit.
class soak_caller
{
public:
    soak_caller(const caller_context &context, std::size_t vm, std::size_t number)
        : m_context(context)
        , m_vm(vm)
        , m_name("s" + std::to_string(context.seed) + "-vm" + std::to_string(vm) + "-c"
                 + std::to_string(number))
        , m_random(context.seed ^ std::hash<std::string>()(m_name))
        , m_patient(m_random.below(2) == 0)
        , m_keepsConnection(m_random.below(3) != 0)
        , m_key(m_random.below(4) == 0 ? "key-limited" : "key-open")
        , m_timer(context.loop)
    {
        continueAfter(thinkTime());
    }

private:
    static constexpr milliseconds reconnectDelay{100};

    duration thinkTime() { return drawDuration(milliseconds(0), milliseconds(80), m_random); }

    void continueAfter(duration delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([this](error_code error) {
            if (error || m_context.stopped)
                return;
            if (m_context.maySend(m_vm))
                send();
            else
                continueAfter(reconnectDelay);
        });
    }

    void send()
    {
        const caller_route &route = m_context.routes[m_random.below(m_context.routes.size())];
        const std::string id = m_name + '-' + std::to_string(++m_count);
        const milliseconds budget = milliseconds(1500 + m_random.below(4500));
        http_request request{
                route.idempotent ? "GET" : "POST",
                '/' + route.name + '/' + id,
                {{"Host", "shop.example"},
                 {std::string(names::requestId), id},
                 {std::string(names::apiKey), m_key},
                 {std::string(names::deadlineMilliseconds), std::to_string(budget.count())}},
                nullptr};
        if (!route.idempotent)
            request.body = std::make_shared<const std::string>(id);
        const bool kept = m_connection != nullptr;
        if (!kept)
            m_connection = http_connection::create(m_context.loop,
                                                   deployment::address(m_vm, endpoint::callers));
        m_context.checker.sent(id, m_vm, route.idempotent, kept, monotonicNow() + budget);
        m_connection->exchange(
                request, {}, time_point::max(),
                [this, id, route](const exchange_result &result) { ended(id, route, result); });
        // Waits a little longer than its time budget, to see late responses.
        m_timer.expires_after(budget + milliseconds(500));
        m_timer.async_wait([connection = m_connection](error_code error) {
            if (!error)
                connection->close(exchange_outcome::timeout);
        });
    }

    void ended(const std::string &id, const caller_route &route, const exchange_result &result)
    {
        if (result.end == exchange_outcome::completed)
            m_context.checker.completed(id, result.response);
        else if (result.end == exchange_outcome::broken)
            m_context.checker.broken(id);
        else
            m_context.checker.ended(id, result.end == exchange_outcome::refused ? "no connection"
                                                                                : "caller gave up");
        if (result.response.status == 200)
            m_context.served(m_vm, route);
        if (!result.reusable || !m_keepsConnection) {
            m_connection->close(exchange_outcome::cancelled);
            m_connection.reset();
        }
        continueAfter(delayAfter(result));
    }

    duration delayAfter(const exchange_result &result)
    {
        if (result.end != exchange_outcome::completed)
            return reconnectDelay;
        if (result.response.status == 200)
            return thinkTime();
        const std::string_view text = headerValue(result.response.headers, "Retry-After");
        double wait = 0;
        std::from_chars(text.data(), text.data() + text.size(), wait);
        constexpr double leastSeconds = 0.02;
        constexpr double mostSeconds = 5;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                m_patient ? std::clamp(wait, leastSeconds, mostSeconds) : leastSeconds));
    }

    const caller_context &m_context;
    std::size_t m_vm;
    std::string m_name;
    seeded_random m_random;
    bool m_patient;
    bool m_keepsConnection;
    std::string m_key;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<http_connection> m_connection;
    std::uint64_t m_count = 0;
};

} // namespace tamarackridge::soak
