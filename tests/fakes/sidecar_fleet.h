#pragma once

#include "tamarackridge/sidecar"
#include "tamarackridge/src/base/seeded_random.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tamarackridge::fakes {

/// \brief Records the events that a sidecar_core reports.
class recording_observer final : public decision_observer
{
public:
    void requestEnded(const ended_request &request) override
    {
        statuses.push_back(request.status);
        errors.emplace_back(request.error);
    }
    void knownStateChanged(std::string_view subject, std::string_view knownState,
                           std::string_view source) override
    {
        knownStates.push_back(std::string(subject) + ": " + std::string(knownState) + " ("
                              + std::string(source) + ")");
    }

    void runInterrupted(run_id, const request_identity &identity, std::string_view path) override
    {
        interruptedRuns.push_back(std::string(path) + ": " + toString(identity.request));
    }
    void runRefused(std::string_view requestId, error_kind reason, std::string_view) override
    {
        refusedRuns.push_back(std::string(requestId) + ": "
                              + std::string(responseFor(reason).name));
    }

    std::vector<int> statuses;
    std::vector<std::string> refusedRuns;
    std::vector<std::string> interruptedRuns; ///< Path and identity.
    std::vector<std::string> errors;
    std::vector<std::string> knownStates;
};

/// \brief A request that was passed to a backend server of the fake fleet.
struct fake_run
{
    std::string node;
    run_id run = 0;
    http_request request;
    bool cancelled = false;
};

inline header_names fakeHeaders()
{
    return {"Attempt-Id", "Time-Left", "Key", "Customer", "Caller", "Instance", "Server-Leaves"};
}

inline published_route fakeRoute(std::string name, std::string service, bool idempotent = true)
{
    published_route route;
    route.name = name;
    route.host = "shop.example";
    route.pathPrefix = "/" + name + "/";
    route.targets = {{std::move(service), 1}};
    route.idempotent = idempotent;
    route.timeout = std::chrono::seconds(1);
    route.attempts = 2;
    return route;
}

/// \brief Creates a set with the routes `read` and `write` of service `orders` and one customer.
inline published_set fakeSet(std::int64_t version, double rate = 0)
{
    published_set set;
    set.version = version;
    set.routes = {fakeRoute("read", "orders"), fakeRoute("write", "orders", false)};
    set.customers = {{"andina", {"key-1", "key-2"}, rate, rate, 0}};
    set.text = std::make_shared<const std::string>(std::to_string(version));
    return set;
}

/// \brief Runs sidecar cores in virtual time and delivers their messages without delay.
class sidecar_fleet
{
public:
    explicit sidecar_fleet(const std::vector<std::pair<std::string, std::string>> &nodes)
    {
        for (const auto &[name, service] : nodes)
            m_zones.insert(zoneOf(name));
        for (const auto &[name, service] : nodes)
            addNode(name, zoneOf(name), service);
        announceMembers();
    }

    sidecar_core &core(const std::string &node) { return *m_nodes.at(node).core; }
    recording_observer &observer(const std::string &node) { return *m_nodes.at(node).observer; }
    time_point now() const { return m_now; }

    /// \brief Registers \a set with the fake decoder and passes its text to \a node.
    void publish(const published_set &set, const std::string &node)
    {
        m_sets[*set.text] = set;
        runEvent(node, [&](sidecar_core &core, action_list &out) {
            core.configurationRead(*set.text, "store", m_now, out);
        });
    }
    void publishAll(const published_set &set)
    {
        for (const auto &[name, state] : m_nodes)
            publish(set, name);
    }

    bool report(const std::string &node, std::int64_t sequence, bool leaving = false,
                std::int64_t startedAt = 1, const std::string &instance = "i-1")
    {
        server_report item{
                instance, m_nodes.at(node).service, address(node), startedAt, sequence, 100,
                leaving};
        bool accepted = false;
        runEvent(node, [&](sidecar_core &core, action_list &out) {
            accepted = core.serverReported(item, m_now, out);
        });
        return accepted;
    }

    call_id call(const std::string &node, const std::string &route,
                 const std::string &key = "key-1", std::vector<http_header> more = {})
    {
        return callTarget(node, "/" + route + "/1?x=2", key, std::move(more));
    }
    call_id callTarget(const std::string &node, const std::string &target,
                       const std::string &key = "key-1", std::vector<http_header> more = {})
    {
        http_request request{"GET", target, std::move(more), nullptr};
        const call_id id = ++m_lastCall;
        request.headers.push_back({"Host", "shop.example"});
        request.headers.push_back({"Attempt-Id", "a" + std::to_string(id)});
        if (!key.empty())
            request.headers.push_back({"Key", key});
        runEvent(node, [&](sidecar_core &core, action_list &out) {
            core.callerRequest(id, std::move(request), m_now, out);
        });
        return id;
    }
    void disconnectCaller(const std::string &node, call_id id)
    {
        runEvent(node, [&](sidecar_core &core, action_list &out) {
            core.callerDisconnected(id, m_now, out);
        });
    }
    void finish(std::size_t position, backend_result result)
    {
        const fake_run item = runs.at(position);
        runEvent(item.node, [&](sidecar_core &core, action_list &out) {
            core.backendResponse(item.run, std::move(result), m_now, out);
        });
    }
    void finish(std::size_t position, int status = 200)
    {
        backend_result result;
        result.bytesSent = true;
        http_response response;
        response.status = status;
        result.response = response;
        finish(position, std::move(result));
    }
    void shed(std::size_t position)
    {
        backend_result result;
        result.response = tl::unexpected(error_kind::overloaded);
        finish(position, std::move(result));
    }

    void runEvent(const std::string &node,
                  const std::function<void(sidecar_core &core, action_list &out)> &event)
    {
        action_list out;
        event(core(node), out);
        perform(node, out);
    }

    void advance(duration time, duration step = std::chrono::milliseconds(20))
    {
        for (const time_point end = m_now + time; m_now < end;) {
            m_now += step;
            for (const auto &[name, state] : m_nodes)
                runEvent(name,
                         [&](sidecar_core &core, action_list &out) { core.tick(m_now, out); });
        }
    }

    /// \brief Lets \a node read the departures of its server and all crashes from the store, if it
    /// can.
    void readRecords(const std::string &node)
    {
        readCrashes(node);
        readDepartures(node);
    }
    void readCrashes(const std::string &node)
    {
        if (nodesWithoutStore.contains(node))
            return;
        std::vector<crash_record> crashes;
        for (const auto &[subject, stored] : m_recordedCrashes) {
            if (stored.expiresAt <= m_now)
                continue;
            crashes.push_back(stored.record);
            crashes.back().remaining = stored.expiresAt - m_now;
        }
        runEvent(node, [&](sidecar_core &core, action_list &out) {
            core.crashRecordsRead(crashes, m_now, out);
        });
    }
    void readDepartures(const std::string &node)
    {
        if (nodesWithoutStore.contains(node))
            return;
        runEvent(node, [&](sidecar_core &core, action_list &out) {
            core.departuresRead({recordedDepartures[node], true}, m_now, out);
        });
    }

    /// \brief Replaces the process of \a node by a new one, which reads the list of nodes; all
    /// other nodes have links to it, which report the restart.
    void restart(const std::string &node)
    {
        replaceProcess(node);
        for (const auto &[name, state] : m_nodes) {
            if (name == node)
                continue;
            runEvent(name, [&](sidecar_core &core, action_list &out) {
                core.peerRestarted(node, m_nodes.at(node).self.incarnation, m_now, out);
            });
        }
    }
    /// \brief Replaces all processes at the same moment: no new one reaches an earlier one.
    void restartAll()
    {
        const std::map<std::string, std::string> services = servicesOfNodes();
        for (const auto &[name, service] : services)
            addNode(name, zoneOf(name), service);
        for (const auto &[name, service] : services)
            listMembersTo(name);
    }

    /// \returns the status of the response to a call, or 0 if there is none yet.
    int status(call_id id) const
    {
        const auto found = responses.find(id);
        return found == responses.end() ? 0 : found->second.status;
    }

    std::vector<fake_run> runs;
    std::map<call_id, http_response> responses;
    /// Called for each message between two nodes, before it is delivered or lost.
    std::function<void(const std::string &from, const send_peer &message)> messageSent =
            [](const std::string &, const send_peer &) {};
    /// Returns whether a message that is not lost otherwise is lost.
    std::function<bool(const std::string &from, const send_peer &message)> isLost =
            [](const std::string &, const send_peer &) { return false; };
    /// Nodes that cannot reach the store, in which departures and crashes of servers are recorded.
    std::set<std::string> nodesWithoutStore;
    std::map<std::string, std::vector<server_departure>> recordedDepartures; ///< By node.
    std::set<std::string> isolatedNodes; ///< Nodes whose messages are lost in both directions.

private:
    struct node_state
    {
        std::string service;
        node_ref self;
        std::unique_ptr<recording_observer> observer;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<sidecar_core> core;
    };

    struct recorded_crash
    {
        crash_record record;
        time_point expiresAt;
    };

    static std::string zoneOf(const std::string &node) { return "zone-" + node.substr(0, 1); }
    static std::string address(const std::string &node) { return node + ":1"; }

    void addNode(const std::string &name, const std::string &zone, const std::string &service)
    {
        node_state &state = m_nodes[name];
        state.service = service;
        state.self = {zone, name, ++m_lastIncarnation};
        state.observer = std::make_unique<recording_observer>();
        state.random = std::make_unique<seeded_random>(m_lastIncarnation);
        sidecar_options options;
        options.self = state.self;
        options.peerEndpoint = name + ":7000";
        options.service = service;
        options.serverAddress = address(name);
        options.headers = fakeHeaders();
        options.zones = m_zones.size();
        const set_decoder decoder =
                [this](std::string_view text) -> tl::expected<published_set, std::string> {
            const auto found = m_sets.find(text);
            if (found == m_sets.end())
                return tl::unexpected(std::string("unknown text"));
            return found->second;
        };
        state.core =
                std::make_unique<sidecar_core>(options, decoder, *state.observer, *state.random);
    }

    void listMembersTo(const std::string &node)
    {
        std::vector<seed_peer> members;
        for (const auto &[name, state] : m_nodes)
            members.push_back({name, name + ":7000"});
        runEvent(node, [&](sidecar_core &core, action_list &out) {
            core.membersListed(members, m_now, out);
        });
        readRecords(node);
    }
    void announceMembers()
    {
        for (const auto &[name, state] : m_nodes)
            listMembersTo(name);
        advance(std::chrono::seconds(2));
    }
    std::map<std::string, std::string> servicesOfNodes() const
    {
        std::map<std::string, std::string> services;
        for (const auto &[name, state] : m_nodes)
            services[name] = state.service;
        return services;
    }
    void replaceProcess(const std::string &node)
    {
        const std::string service = m_nodes.at(node).service;
        addNode(node, zoneOf(node), service);
        listMembersTo(node);
    }

    void perform(const std::string &node, action_list &out)
    {
        for (action &item : out)
            m_queue.emplace_back(node, std::move(item));
        if (m_draining)
            return;
        m_draining = true;
        while (!m_queue.empty()) {
            const std::pair<std::string, action> next = std::move(m_queue.front());
            m_queue.pop_front();
            perform(next.first, next.second);
        }
        m_draining = false;
    }

    void perform(const std::string &node, const action &item)
    {
        if (const respond_to_caller *response = std::get_if<respond_to_caller>(&item)) {
            responses[response->call] = response->response;
        } else if (const run_backend *run = std::get_if<run_backend>(&item)) {
            runs.push_back({node, run->run, run->request, false});
        } else if (const record_departure *record = std::get_if<record_departure>(&item)) {
            if (!nodesWithoutStore.contains(node)) {
                std::vector<server_departure> &recorded = recordedDepartures[node];
                std::erase_if(recorded, [record](const server_departure &other) {
                    return other.instance == record->departure.instance;
                });
                recorded.push_back(record->departure);
            }
        } else if (const record_crash *crash = std::get_if<record_crash>(&item)) {
            if (!nodesWithoutStore.contains(node) && !crash->updateOnly)
                m_recordedCrashes[crash->record.subject] = {crash->record,
                                                            m_now + crash->record.remaining};
        } else if (const cancel_run *cancel = std::get_if<cancel_run>(&item)) {
            for (fake_run &known : runs)
                known.cancelled =
                        known.cancelled || (known.node == node && known.run == cancel->run);
        } else if (const send_peer *send = std::get_if<send_peer>(&item)) {
            messageSent(node, *send);
            const auto target = m_nodes.find(send->node);
            const bool cut = isolatedNodes.contains(node) || isolatedNodes.contains(send->node);
            if (target == m_nodes.end() || cut || isLost(node, *send))
                return;
            if (send->receiver != 0 && send->receiver != target->second.self.incarnation)
                return;
            action_list more;
            target->second.core->peerMessage(m_nodes.at(node).self, send->message, m_now, more);
            for (action &next : more)
                m_queue.emplace_back(send->node, std::move(next));
        }
    }

    std::set<std::string> m_zones;
    std::map<fingerprint, recorded_crash> m_recordedCrashes;
    std::map<std::string, node_state> m_nodes;
    std::map<std::string, published_set, std::less<>> m_sets;
    std::deque<std::pair<std::string, action>> m_queue;
    time_point m_now{std::chrono::seconds(100)};
    call_id m_lastCall = 0;
    incarnation_id m_lastIncarnation = 0;
    bool m_draining = false;
};

} // namespace tamarackridge::fakes
