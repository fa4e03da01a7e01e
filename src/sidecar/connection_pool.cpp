#include "sidecar/connection_pool.h"

#include <algorithm>
#include <utility>

namespace tamarackridge {
namespace {

// Used when the server sends no Keep-Alive timeout.
constexpr duration defaultIdleTimeout = std::chrono::seconds(4);
constexpr duration maxIdleTimeout = std::chrono::seconds(30);
// A request sent while the server closes the connection is lost, so the pool closes it this much
// earlier than the server would.
constexpr duration closeMargin = std::chrono::milliseconds(1500);
// A connection counts as recently used for this time. Some servers drop connections that have been
// idle for 300 ms, so it is well below that.
constexpr duration recentUseWindow = std::chrono::milliseconds(100);
constexpr duration recentOnlyPeriod = std::chrono::seconds(30);
// Of all responses that are being received. A server in trouble may send bytes on many connections
// without end, and the smallest VMs have 160 MB.
constexpr std::size_t maxHeldBytes = std::size_t{32} * 1024 * 1024;

} // namespace

connection_pool::~connection_pool()
{
    *m_alive = false;
    for (const idle_connection &item : m_idle)
        item.connection->close(exchange_outcome::cancelled);
    for (const auto &[id, connection] : m_busy)
        connection->close(exchange_outcome::cancelled);
}

connection_pool::exchange_id connection_pool::exchange(const http_request &request,
                                                       response_match match, time_point deadline,
                                                       connection_reuse reuse,
                                                       http_connection::done_handler done)
{
    const exchange_id id = ++m_lastId;
    const time_point now = monotonicNow();
    const bool lastUsedIsStale = !m_idle.empty() && now - m_idle.back().idleSince > recentUseWindow;
    std::shared_ptr<http_connection> connection = takeIdle(reuse, now);
    const bool reusedStale = connection != nullptr && lastUsedIsStale;
    if (!connection) {
        connection = open();
        ++m_opened;
    }
    m_busy.emplace(id, connection);
    connection->exchange(request, std::move(match), deadline,
                         [this, id, connection, reusedStale, alive = m_alive,
                          done = std::move(done)](exchange_result result) {
                             if (!*alive)
                                 return;
                             m_busy.erase(id);
                             if (reusedStale && result.end == exchange_outcome::broken)
                                 m_recentOnlyUntil = monotonicNow() + recentOnlyPeriod;
                             if (result.reusable)
                                 keepIdle(connection, result.idleTimeout);
                             done(std::move(result));
                         });
    return id;
}

std::shared_ptr<http_connection> connection_pool::open()
{
    return http_connection::create(m_loop, m_server, [this, alive = m_alive](std::int64_t change) {
        if (!*alive)
            return;
        m_heldBytes += static_cast<std::size_t>(change);
        if (change > 0)
            limitHeldBytes();
    });
}

void connection_pool::limitHeldBytes()
{
    while (m_heldBytes > maxHeldBytes) {
        const auto longest = std::max_element(
                m_busy.begin(), m_busy.end(), [](const auto &left, const auto &right) {
                    return left.second->heldBytes() < right.second->heldBytes();
                });
        longest->second->breakOff("all responses being received exceed the limit");
    }
}

std::shared_ptr<http_connection> connection_pool::takeIdle(connection_reuse reuse, time_point now)
{
    if (reuse == connection_reuse::none)
        return nullptr;
    const bool recentOnly = reuse == connection_reuse::recently_used || now < m_recentOnlyUntil;
    while (!m_idle.empty()) {
        // All other connections have been idle for longer.
        if (recentOnly && now - m_idle.back().idleSince > recentUseWindow)
            return nullptr;
        const idle_connection item = std::move(m_idle.back());
        m_idle.pop_back();
        if (now < item.usableUntil)
            return item.connection;
        item.connection->close(exchange_outcome::cancelled);
    }
    return nullptr;
}

void connection_pool::keepIdle(const std::shared_ptr<http_connection> &connection,
                               const std::optional<duration> &idleTimeout)
{
    const duration timeout = std::min(idleTimeout.value_or(defaultIdleTimeout), maxIdleTimeout);
    if (timeout <= closeMargin) {
        connection->close(exchange_outcome::cancelled);
        return;
    }
    const time_point now = monotonicNow();
    m_idle.push_back({connection, now, now + timeout - closeMargin});
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
        found->second->close(exchange_outcome::cancelled);
}

void connection_pool::sweep(time_point now)
{
    for (const auto &[id, connection] : m_busy) {
        if (now >= connection->deadline())
            connection->close(exchange_outcome::timeout);
    }
    std::erase_if(m_idle, [now](const idle_connection &item) {
        if (now < item.usableUntil)
            return false;
        item.connection->close(exchange_outcome::cancelled);
        return true;
    });
}

} // namespace tamarackridge
