#pragma once

#include "scenario/event_queue.h"
#include "scenario/virtual_backend.h"
#include "scenario/virtual_log.h"
#include "tamarackridge/node"
#include "tamarackridge/src/base/seeded_random.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::scenario {

/// \brief A node and its backend server in a fleet.
struct fleet_member
{
    std::string zone;
    std::string name;
    backend_model backend;
};

/// \brief Settings of a fleet.
struct fleet_options
{
    std::uint64_t seed = 1;
    duration sameZoneDelay = std::chrono::microseconds(100);
    duration otherZoneDelay = std::chrono::microseconds(1500);
    duration callerDelay = std::chrono::milliseconds(1);
    duration logDelay = std::chrono::milliseconds(5);
    duration logRetention = std::chrono::hours(24);
    duration quotaClaimDelay = std::chrono::seconds(1);
};

/// \brief Node cores, backend servers, log and links, driven in virtual time.
///
/// Links can be cut between zones and between a zone and the log; nodes can be paused, killed,
/// stopped and replaced.
class virtual_fleet
{
public:
    using response_sink = std::function<void(const http_response &response)>;

    explicit virtual_fleet(fleet_options options);
    ~virtual_fleet();

    /// \brief Starts a node with its backend server.
    void start(const fleet_member &member);
    /// \brief Ends node and backend server at once.
    void kill(const std::string &node);
    /// \brief Begins a graceful shutdown of the node; the member ends when it is drained.
    void stop(const std::string &node);
    /// \brief Starts a killed or stopped member again, without memory.
    void replace(const std::string &node);
    void pause(const std::string &node) { m_paused.insert(node); }
    void resume(const std::string &node);
    /// \brief Separates a zone from all other zones.
    void cutZone(const std::string &zone) { m_cutZones.insert(zone); }
    void healZone(const std::string &zone) { m_cutZones.erase(zone); }
    /// \brief Separates a zone from the platform log.
    void cutLog(const std::string &zone) { m_cutLogs.insert(zone); }
    void healLog(const std::string &zone) { m_cutLogs.erase(zone); }

    void crashBackend(const std::string &node);
    void restartBackend(const std::string &node);
    /// \brief The backend server of \a node takes requests and never answers them.
    void freezeBackend(const std::string &node);

    /// \brief Sends a caller's request to a node. No answer comes when the node dies.
    void call(const std::string &node, http_request request, response_sink sink);
    /// \brief Appends the change from the set published before to this one.
    void publish(std::string_view configText);

    void run(duration length) { m_events.runUntil(m_events.now() + length); }
    event_queue &events() { return m_events; }
    virtual_log &log() { return m_log; }
    virtual_backend &backend(const std::string &node) { return *m_members.at(node)->backend; }
    node_core &core(const std::string &node) { return *m_members.at(node)->core; }
    bool alive(const std::string &node) const { return m_members.contains(node); }
    std::vector<std::string> names() const;
    const std::vector<execution_record> &executions() const { return m_executions; }
    /// \returns peer messages delivered so far, by sender.
    const std::map<std::string, std::uint64_t> &messagesSent() const { return m_messagesSent; }

private:
    struct open_call
    {
        response_sink sink;
        duration delay; ///< One way between caller and node.
    };
    struct reading
    {
        std::int64_t next = 0;
        std::uint64_t generation = 0;
    };
    struct live_member
    {
        fleet_member settings;
        node_ref self;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<node_core> core;
        std::unique_ptr<virtual_backend> backend;
        std::map<call_id, open_call> calls;
        std::map<std::string, reading> readings;
        std::vector<std::function<void(live_member &)>> heldBack; ///< While paused.
    };

    void callAfter(const std::string &node, http_request request, response_sink sink,
                   duration delay);
    /// \brief Runs \a event at a node, or keeps it until the node is resumed.
    void deliver(const std::string &node, incarnation_id incarnation,
                 std::function<void(live_member &)> event);
    void perform(live_member &member, action_list actions);
    void tickLater(const std::string &node, incarnation_id incarnation);
    void announceLater(const std::string &node, incarnation_id incarnation);
    bool reaches(const std::string &fromZone, const std::string &toZone) const;
    void poll(const std::string &node, incarnation_id incarnation, const std::string &stream,
              std::uint64_t generation);

    void act(live_member &member, respond_to_caller &step);
    void act(live_member &member, run_backend &step);
    void act(live_member &member, cancel_run &step);
    void act(live_member &member, send_peer &step);
    void act(live_member &member, append_log &step);
    void act(live_member &member, read_log &step);
    void act(live_member &member, stop_reading &step);
    void act(live_member &, connect_peer &) { }
    void act(live_member &, disconnect_peer &) { }
    void act(live_member &, emit_span &) { }

    fleet_options m_options;
    event_queue m_events;
    seeded_random m_random;
    virtual_log m_log;
    std::map<std::string, std::unique_ptr<live_member>> m_members;
    std::map<std::string, fleet_member> m_settings;
    std::vector<std::unique_ptr<virtual_backend>>
            m_endedBackends; ///< Ended; their events may be due.
    std::set<std::string> m_paused;
    std::set<std::string> m_cutZones;
    std::set<std::string> m_cutLogs;
    std::vector<execution_record> m_executions;
    std::map<std::string, std::uint64_t> m_messagesSent;
    std::string m_publishedSet; ///< JSON; empty before the first publication.
    std::int64_t m_publishedVersion = -1;
    call_id m_nextCall = 1;
    std::uint64_t m_nextReading = 1;
};

} // namespace tamarackridge::scenario
