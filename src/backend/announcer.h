#pragma once

#include "backend/http_client.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace tamarackridge::backend {

/// \brief What a backend server announces about itself to the node on its VM.
struct announced_server
{
    std::string nodeUrl; ///< Empty if there is no node; then nothing is announced.
    std::string service;
    std::string instance;
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
};

/// \brief Announces a backend server to its node every second until it is destroyed.
class announcer
{
public:
    explicit announcer(announced_server server);
    announcer(const announcer &) = delete;
    announcer &operator=(const announcer &) = delete;
    ~announcer();

    /// \brief Announces, immediately and every second from then on, that the server accepts no new
    /// requests.
    void announceLeaving();

private:
    void run();
    void announce(bool leaving);

    const announced_server m_server;
    http_client m_client;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_leaving = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace tamarackridge::backend
