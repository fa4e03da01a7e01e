#pragma once

#include "record.h"

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <thread>

namespace review {

/// \brief Names and addresses of one machine.
struct machine
{
    std::string name;
    std::string zone;
    std::string service;
    endpoint outbound;
    endpoint ready;
    endpoint control;
    endpoint application;
    std::string ip;
    int firstInternalPort = 0;
    int lastInternalPort = 0;
};

/// \brief Stand-in for a backend server: sends heartbeats and answers each request after a time.
class server_stand_in
{
public:
    /// \brief Makes the body of the response to a request.
    using body_maker = std::function<std::string(const http_message &request)>;

    server_stand_in(const machine &place, event_record &record, milliseconds work, body_maker body);
    server_stand_in(const server_stand_in &) = delete;
    server_stand_in &operator=(const server_stand_in &) = delete;
    ~server_stand_in();

    /// \returns how often the request ran here.
    std::size_t runs(const std::string &requestId);
    /// \brief Accepts no connections until accepting is resumed. Its queue of new connections is
    /// full: opening packets are dropped by the kernel, and sent again after a second or more.
    void pauseAccepting();
    void resumeAccepting();
    /// \brief Reports that the server drains, until that is acknowledged.
    /// \returns when it was acknowledged.
    steady::time_point leave();
    /// \returns the ids of the requests that arrived, and when their last byte did.
    std::vector<std::pair<std::string, steady::time_point>> arrivals();
    /// A request with this text in its target crashes each server that begins to run it, which
    /// is back after crashTime.
    static constexpr const char *crashing = "/crashing";
    static constexpr std::chrono::seconds crashTime{2};
    /// \brief Sets how long such a request runs until the server crashes, which then ends all
    /// connections at the same moment. 0: the server crashes soon after the beginning.
    void setCrashDelay(milliseconds delay) { m_crashDelay = delay; }
    /// \brief Ends all connections and refuses new ones.
    void crash();
    /// \brief Starts again, with another instance id.
    void restart();

private:
    void accept();
    void serve(socket_handle connection, const std::string &instance);
    void serveRequests(const socket_handle &connection, const std::string &instance);
    http_message respondTo(const http_message &request, const std::string &instance);
    void sendHeartbeats();
    bool report(const std::string &state);
    void waitForThreads();
    void endConnections();

    machine m_place;
    event_record &m_record;
    milliseconds m_work;
    std::atomic<milliseconds> m_crashDelay{milliseconds(0)};
    body_maker m_body;
    socket_handle m_listener;
    std::vector<socket_handle> m_waiting; ///< Fill the queue of new connections.
    std::atomic<bool> m_stopped = false;
    std::atomic<bool> m_down = false;
    std::atomic<bool> m_accepting = true;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_crashing = false;
    std::mutex m_mutex;
    std::set<int> m_connections; ///< Handles of the connections that are served.
    std::map<std::string, std::size_t> m_runs;
    std::vector<std::pair<std::string, steady::time_point>> m_arrivals;
    std::vector<std::thread> m_threads;
    int m_boot = 1;
    int m_reports = 0; ///< Of this boot.
    std::int64_t m_born = 0;
    std::thread m_acceptor;
    std::thread m_heartbeats;
};

} // namespace review
