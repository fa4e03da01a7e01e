#include "sidecar/connection_pool.h"

#include <algorithm>
#include <utility>

namespace tamarackridge {
namespace {

// Where the server does not say how long it keeps an idle connection.
constexpr duration usualIdleTime = std::chrono::seconds(4);
constexpr duration longestIdleTime = std::chrono::seconds(30);
// A request that is sent while the server closes the connection is lost; closing first avoids it.
constexpr duration closeEarlier = std::chrono::milliseconds(1500);
// A connection has rested after this time; well below what servers are known to forget (300 ms).
constexpr duration restTime = std::chrono::milliseconds(100);
constexpr duration distrustTime = std::chrono::seconds(30);

} // namespace

connection_pool::~connection_pool()
{
    *m_alive = false;
    for (const idle_connection &item : m_idle)
        item.connection->close(exchange_end::cancelled);
    for (const auto &[id, connection] : m_busy)
        connection->close(exchange_end::cancelled);
}

connection_pool::exchange_id connection_pool::exchange(const http_request &request,
                                                       response_match match, time_point deadline,
                                                       connection_reuse reuse,
                                                       http_connection::done_handler done)
{
    const exchange_id id = ++m_lastId;
    const time_point now = monotonicNow();
    const bool hasRested = !m_idle.empty() && now - m_idle.back().since > restTime;
    std::shared_ptr<http_connection> connection = take(reuse, now);
    const bool onRested = connection != nullptr && hasRested;
    if (!connection) {
        connection = http_connection::create(m_loop, m_server);
        ++m_opened;
    }
    m_busy.emplace(id, connection);
    connection->exchange(request, std::move(match), deadline,
                         [this, id, connection, onRested, alive = m_alive,
                          done = std::move(done)](exchange_result result) {
                             if (!*alive)
                                 return;
                             m_busy.erase(id);
                             if (onRested && result.end == exchange_end::broken)
                                 m_distrustUntil = monotonicNow() + distrustTime;
                             if (result.reusable)
                                 keep(connection, result.idleTime);
                             done(std::move(result));
                         });
    return id;
}

std::shared_ptr<http_connection> connection_pool::take(connection_reuse reuse, time_point now)
{
    const bool recentOnly = reuse == connection_reuse::recently_used || now < m_distrustUntil;
    while (!m_idle.empty()) {
        // The others have rested for longer.
        if (recentOnly && now - m_idle.back().since > restTime)
            return nullptr;
        const idle_connection item = std::move(m_idle.back());
        m_idle.pop_back();
        if (now < item.until)
            return item.connection;
        item.connection->close(exchange_end::cancelled);
    }
    return nullptr;
}

void connection_pool::keep(const std::shared_ptr<http_connection> &connection,
                           const std::optional<duration> &idleTime)
{
    const duration open = std::min(idleTime.value_or(usualIdleTime), longestIdleTime);
    if (open <= closeEarlier) {
        connection->close(exchange_end::cancelled);
        return;
    }
    const time_point now = monotonicNow();
    m_idle.push_back({connection, now, now + open - closeEarlier});
    http_connection *const watched = connection.get();
    connection->watchIdle([this, watched, alive = m_alive] {
        if (*alive)
            std::erase_if(m_idle, [watched](const idle_connection &item) {
                return item.connection.get() == watched;
            });
    });
}

void connection_pool::cancel(exchange_id id)
{
    const auto found = m_busy.find(id);
    if (found != m_busy.end())
        found->second->close(exchange_end::cancelled);
}

void connection_pool::sweep(time_point now)
{
    for (const auto &[id, connection] : m_busy) {
        if (now >= connection->deadline())
            connection->close(exchange_end::timeout);
    }
    std::erase_if(m_idle, [now](const idle_connection &item) {
        if (now < item.until)
            return false;
        item.connection->close(exchange_end::cancelled);
        return true;
    });
}

} // namespace tamarackridge
