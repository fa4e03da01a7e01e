#pragma once

#include "server.h"
#include "store.h"

#include <sys/types.h>

#include <memory>

namespace review {

/// \brief Settings of a deployment.
struct deployment_options
{
    std::string repository; ///< Root of the project.
    std::string folder; ///< Temporary, for settings and logs.
    std::size_t machines = 4;
    /// A process that uses more is killed, as on the platform; 0 for no limit.
    std::size_t memoryMb = 260;
    milliseconds work{100}; ///< Time of each run of a server.
};

/// \brief A small deployment: machines in two zones with two services, their sidecars as separate
/// processes, and stand-ins for their servers, the store and the platform.
class deployment
{
public:
    deployment(deployment_options options, event_record &record,
               const server_stand_in::body_maker &body);
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;
    ~deployment();

    /// \returns false if not all machines serve all routes within 20 s.
    bool waitUntilServing();
    const machine &place(std::size_t index) const { return m_nodes.at(index).place; }
    server_stand_in &server(std::size_t index) { return *m_nodes.at(index).server; }
    store_stand_in &store() { return *m_store; }
    std::size_t size() const { return m_nodes.size(); }
    /// \returns how often a request ran on all servers.
    std::size_t runs(const std::string &requestId);
    /// \brief Sends a signal to the process of a machine.
    void signal(std::size_t index, int number);

    static constexpr const char *host = "shop.example";
    static constexpr const char *key = "key-of-tenant-a";

private:
    struct node
    {
        machine place;
        std::unique_ptr<server_stand_in> server;
        std::string settingsFile;
        std::string logFile;
        pid_t process = 0;
        steady::time_point startAt;
    };

    std::string settingsOf(const machine &place) const;
    static std::string configuration();
    void start(node &item);
    void supervise();
    void checkMemory(node &item);
    bool serves(const machine &place, const std::string &path);

    deployment_options m_options;
    event_record &m_record;
    endpoint m_storeAddress;
    std::unique_ptr<store_stand_in> m_store;
    std::vector<node> m_nodes;
    std::mutex m_mutex;
    std::atomic<bool> m_stopped = false;
    std::thread m_supervisor;
};

} // namespace review
