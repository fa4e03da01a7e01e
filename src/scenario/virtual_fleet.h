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

/// \brief A node of the fleet together with its backend server.
struct fleet_member
{
    std::string zone;
    std::string name;
    backend_model backend;
};

/// \brief Settings of a fleet; delays are one way.
struct fleet_options
{
    std::uint64_t seed = 1;
    duration sameZoneDelay = std::chrono::microseconds(100); ///< Between nodes of one zone.
    duration crossZoneDelay = std::chrono::microseconds(1500); ///< Between nodes of two zones.
    duration callerDelay = std::chrono::milliseconds(1); ///< Between a caller and a node.
    duration logDelay =
            std::chrono::milliseconds(5); ///< Node to platform log and back; a read takes it once.
    duration logRetention = std::chrono::hours(24);
    duration quotaClaimDelay = std::chrono::seconds(1);
};

/// \brief Runs node cores, backend servers, the platform log and the links between them in virtual
/// time.
///
/// Links between zones, and between a zone and the log, can be cut. Nodes can be paused, killed,
/// stopped and replaced.
class virtual_fleet
{
public:
    using response_sink = std::function<void(const http_response &response)>;

    explicit virtual_fleet(fleet_options options);
    ~virtual_fleet();

    /// \brief Starts a node with its backend server.
    void start(const fleet_member &member);
    /// \brief Ends the node and its backend server immediately, without a drain.
    void kill(const std::string &node);
    /// \brief Begins a graceful shutdown; node and backend server end once the node is drained.
    void stop(const std::string &node);
    /// \brief Kills the node if it runs and starts it again with its settings but no earlier state.
    void replace(const std::string &node);
    /// \brief Stops the ticks and events of the node; events are kept until \ref resume.
    void pause(const std::string &node) { m_paused.insert(node); }
    /// \brief Handles the events that arrived during the pause, in order, and continues.
    void resume(const std::string &node);
    /// \brief Cuts the links between a zone and all other zones.
    void cutZone(const std::string &zone) { m_cutZones.insert(zone); }
    void healZone(const std::string &zone) { m_cutZones.erase(zone); }
    /// \brief Cuts the link between a zone and the platform log.
    void cutLog(const std::string &zone) { m_zonesCutFromLog.insert(zone); }
    void healLog(const std::string &zone) { m_zonesCutFromLog.erase(zone); }

    void crashBackend(const std::string &node);
    void restartBackend(const std::string &node);
    /// \brief Makes the backend server of \a node accept requests without ever responding.
    void freezeBackend(const std::string &node);

    /// \brief Sends a caller's request to a node. \a sink is never called if the node ends first.
    void call(const std::string &node, http_request request, response_sink sink);
    /// \brief Publishes a configuration set, as its difference from the set published before.
    void publish(std::string_view configText);

    void run(duration length) { m_events.runUntil(m_events.now() + length); }
    event_queue &events() { return m_events; }
    virtual_log &log() { return m_log; }
    virtual_backend &backend(const std::string &node) { return *m_members.at(node)->backend; }
    node_core &core(const std::string &node) { return *m_members.at(node)->core; }
    bool alive(const std::string &node) const { return m_members.contains(node); }
    std::vector<std::string> names() const;
    const std::vector<execution_record> &executions() const { return m_executions; }
    /// \returns the number of peer messages sent so far, by sender; lost ones count too.
    const std::map<std::string, std::uint64_t> &messagesSent() const { return m_messagesSent; }

private:
    struct open_call
    {
        response_sink sink;
        duration delay; ///< One way, between caller and node.
    };
    struct log_subscription
    {
        std::int64_t next = 0; ///< Offset of the next record to deliver.
        std::uint64_t generation = 0; ///< Lets polls of a replaced subscription stop.
    };
    struct live_member
    {
        fleet_member settings;
        node_ref self;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<node_core> core;
        std::unique_ptr<virtual_backend> backend;
        std::map<call_id, open_call> calls;
        std::map<std::string, log_subscription> logSubscriptions;
        std::vector<std::function<void(live_member &)>> deferredEvents; ///< Arrived during a pause.
    };

    void callWithDelay(const std::string &node, http_request request, response_sink sink,
                       duration delay);
    /// \brief Runs \a event at a node, after its pause if it is paused.
    ///
    /// Drops the event if that incarnation of the node has ended.
    void deliver(const std::string &node, incarnation_id incarnation,
                 std::function<void(live_member &)> event);
    void perform(live_member &member, action_list actions);
    /// \brief Ticks the node every 10 ms; ends the member once the node is drained.
    void scheduleTick(const std::string &node, incarnation_id incarnation);
    /// \brief Announces the backend server to its node, now and every announceInterval.
    void announceBackend(const std::string &node, incarnation_id incarnation);
    /// \returns whether no cut separates the two zones.
    bool canReach(const std::string &fromZone, const std::string &toZone) const;
    /// \brief Delivers new records of \a stream to the node, now and every logPollInterval.
    void pollLog(const std::string &node, incarnation_id incarnation, const std::string &stream,
                 std::uint64_t generation);

    void applyAction(live_member &member, respond_to_caller &step);
    void applyAction(live_member &member, run_backend &step);
    void applyAction(live_member &member, cancel_run &step);
    void applyAction(live_member &member, send_peer &step);
    void applyAction(live_member &member, append_log &step);
    void applyAction(live_member &member, read_log &step);
    void applyAction(live_member &member, stop_reading &step);
    void applyAction(live_member &, connect_peer &) { }
    void applyAction(live_member &, disconnect_peer &) { }
    void applyAction(live_member &, emit_span &) { }
    void applyAction(live_member &, record_departure &) { }
    void applyAction(live_member &, record_crash &) { }
    void applyAction(live_member &, check_server &) { }

    fleet_options m_options;
    event_queue m_events;
    seeded_random m_random;
    virtual_log m_log;
    std::map<std::string, std::unique_ptr<live_member>> m_members;
    std::map<std::string, fleet_member> m_memberSettings;
    std::vector<std::unique_ptr<virtual_backend>>
            m_endedBackends; ///< Kept since scheduled events still refer to them.
    std::set<std::string> m_paused;
    std::set<std::string> m_cutZones;
    std::set<std::string> m_zonesCutFromLog;
    std::vector<execution_record> m_executions;
    std::map<std::string, std::uint64_t> m_messagesSent;
    std::string m_publishedConfig; ///< The last set as JSON; empty before the first publication.
    std::int64_t m_publishedVersion = -1;
    call_id m_nextCall = 1;
    std::uint64_t m_nextSubscription = 1;
};

} // namespace tamarackridge::scenario
