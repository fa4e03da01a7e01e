#pragma once

#include "tamarackridge/membership"
#include "wire/frame.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarackridge::bench {

/// \brief Bytes that one node sent and received, as encoded frames, without the overhead of CURVE
/// and TCP.
struct traffic_count
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t messages = 0; ///< Number of messages sent.
};

/// \returns the directory entry of one node of a fleet with names of realistic length.
inline member sampleMember(std::size_t zone, std::size_t index)
{
    const std::string zoneName = "region-" + std::to_string(zone / 3) + "-" + std::to_string(zone);
    member result;
    result.node = {zoneName, "vm-" + std::to_string(zone) + "-" + std::to_string(index),
                   0x9000000000000000U + zone * 100'000 + index};
    result.counter = 2;
    result.endpoint = "tcp://10.20." + std::to_string(index / 250) + '.'
                      + std::to_string(index % 250) + ":7301";
    result.service = "service-" + std::to_string(index % 600);
    result.slots = 150;
    result.state = member_state::serving;
    return result;
}

/// \brief Runs overlays in virtual time over links without delay and counts the encoded bytes of
/// each node.
class overlay_traffic
{
public:
    using seed_list = std::vector<std::pair<std::string, std::string>>;

    /// \brief Builds a fleet whose nodes already know each other.
    overlay_traffic(std::size_t zones, std::size_t nodesPerZone, seed_list seeds = {})
        : m_seeds(std::move(seeds))
    {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            for (std::size_t index = 0; index < nodesPerZone; ++index)
                add(sampleMember(zone, index));
        }
        entries all;
        for (const auto &[name, node] : m_nodes)
            all.list.push_back(encodeMember(node->self()));
        action_list ignored; // No node has neighbours before its first tick.
        for (const auto &[name, node] : m_nodes)
            node->onEntries(m_nodes.begin()->second->self().node, all, m_now, ignored);
    }

    void add(const member &self)
    {
        m_nodes[self.node.name] =
                std::make_unique<overlay>(self, m_seeds, overlay_options{}, m_now);
    }

    void run(duration length)
    {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += std::chrono::milliseconds(100);
            for (const auto &[name, node] : m_nodes) {
                // Nodes start at different times, so their heartbeats are not synchronised.
                if (m_now - m_started < phaseOf(name))
                    continue;
                action_list out;
                node->tick({}, m_now, out);
                deliver(name, out);
            }
        }
    }

    /// \brief Delivers the messages in \a out from node \a from, and all messages sent in response.
    /// \returns the number of hops after which the last node received its first message.
    std::size_t deliver(const std::string &from, const action_list &out)
    {
        std::deque<delivery> queue;
        std::set<std::string> reached{from};
        std::size_t maxHops = 0;
        enqueue(from, out, 1, queue);
        while (!queue.empty()) {
            const delivery next = std::move(queue.front());
            queue.pop_front();
            if (!m_nodes.contains(next.message.node) || isCut(next.sender, next.message.node))
                continue;
            m_traffic[next.message.node].received += next.bytes;
            if (reached.insert(next.message.node).second)
                maxHops = std::max(maxHops, next.hop);
            action_list responses;
            receive(next, responses);
            enqueue(next.message.node, responses, next.hop + 1, queue);
        }
        m_reached = reached.size();
        return maxHops;
    }

    /// \brief Separates a zone from all others; an empty name ends the separation.
    void cutZone(std::string zone) { m_cutZone = std::move(zone); }
    void resetTraffic() { m_traffic.clear(); }
    const std::map<std::string, traffic_count> &traffic() const { return m_traffic; }
    overlay &operator[](const std::string &name) { return *m_nodes.at(name); }
    const std::map<std::string, std::unique_ptr<overlay>> &nodes() const { return m_nodes; }
    time_point now() const { return m_now; }
    /// \returns the number of nodes that the last deliver() reached, the sender included.
    std::size_t reached() const { return m_reached; }

private:
    struct delivery
    {
        std::string sender;
        send_peer message;
        std::size_t hop = 0;
        std::size_t bytes = 0;
    };

    static duration phaseOf(const std::string &name)
    {
        return std::chrono::milliseconds(100) * (ringHash(name) % 5);
    }
    const std::string &zoneOf(const std::string &name) const
    {
        return m_nodes.at(name)->self().node.zone;
    }
    bool isCut(const std::string &left, const std::string &right) const
    {
        return !m_cutZone.empty() && (zoneOf(left) == m_cutZone) != (zoneOf(right) == m_cutZone);
    }
    void enqueue(const std::string &from, const action_list &out, std::size_t hop,
                 std::deque<delivery> &queue)
    {
        for (const action &step : out) {
            const send_peer *message = std::get_if<send_peer>(&step);
            if (message == nullptr)
                continue;
            const frame_header header{m_nodes.at(from)->self().node, message->receiver,
                                      ++m_sequence};
            const std::size_t bytes = encodePeerMessage(header, message->message).size();
            traffic_count &sender = m_traffic[from];
            sender.sent += bytes;
            ++sender.messages;
            queue.push_back({from, *message, hop, bytes});
        }
    }
    void receive(const delivery &next, action_list &out)
    {
        overlay &receiver = *m_nodes.at(next.message.node);
        const node_ref &from = m_nodes.at(next.sender)->self().node;
        if (const heartbeat *beat = std::get_if<heartbeat>(&next.message.message))
            receiver.onHeartbeat(from, *beat, m_now, out);
        else if (const entries *list = std::get_if<entries>(&next.message.message))
            receiver.onEntries(from, *list, m_now, out);
        else if (const entry_summary *all = std::get_if<entry_summary>(&next.message.message))
            receiver.onSummary(from, *all, out);
    }

    seed_list m_seeds;
    std::map<std::string, std::unique_ptr<overlay>> m_nodes;
    std::map<std::string, traffic_count> m_traffic;
    std::string m_cutZone;
    static constexpr time_point m_started{};
    time_point m_now = m_started;
    std::uint64_t m_sequence = 0;
    std::size_t m_reached = 0;
};

} // namespace tamarackridge::bench
