#include "backend/announcer.h"

#include <nlohmann/json.hpp>

namespace tamarackridge::backend {
namespace {

constexpr std::chrono::milliseconds announceInterval{1000};
constexpr std::chrono::milliseconds announceTimeout{800};

} // namespace

announcer::announcer(announced_server server)
    : m_server(std::move(server))
{
    if (!m_server.nodeUrl.empty())
        m_thread = std::thread([this] { run(); });
}

announcer::~announcer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void announcer::announceLeaving()
{
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
    }
    m_changed.notify_all();
}

void announcer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool leaving = m_leaving;
        lock.unlock();
        announce(leaving);
        lock.lock();
        m_changed.wait_for(lock, announceInterval,
                           [&] { return m_stopping || m_leaving != leaving; });
    }
}

void announcer::announce(bool leaving)
{
    const nlohmann::json body{{"service", m_server.service},
                              {"instance", m_server.instance},
                              {"port", m_server.port},
                              {"slots", m_server.slots},
                              {"leaving", leaving}};
    // A lost announcement needs no retry: the next one has the same content.
    m_client.send({"POST",
                   m_server.nodeUrl + "/.tamarackridge/announce",
                   {"Content-Type: application/json"},
                   body.dump(),
                   announceTimeout});
}

} // namespace tamarackridge::backend
