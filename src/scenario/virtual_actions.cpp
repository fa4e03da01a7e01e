#include "scenario/virtual_fleet.h"

namespace tamarackridge::scenario {
namespace {

constexpr duration logPollInterval = std::chrono::milliseconds(50);

} // namespace

void virtual_fleet::perform(live_member &member, action_list actions)
{
    for (action &step : actions)
        std::visit([this, &member](auto &content) { applyAction(member, content); }, step);
}

void virtual_fleet::applyAction(live_member &member, respond_to_caller &step)
{
    const auto found = member.calls.find(step.call);
    if (found == member.calls.end())
        return;
    const open_call open = std::move(found->second);
    member.calls.erase(found);
    m_events.after(open.delay,
                   [open, response = std::move(step.response)] { open.sink(response); });
}

void virtual_fleet::applyAction(live_member &member, run_backend &step)
{
    m_events.after(duration::zero(), [this, name = member.settings.name,
                                      incarnation = member.self.incarnation,
                                      run = std::move(step)] {
        const auto found = m_members.find(name);
        if (found != m_members.end() && found->second->self.incarnation == incarnation)
            found->second->backend->run(run);
    });
}

void virtual_fleet::applyAction(live_member &member, cancel_run &step)
{
    m_events.after(duration::zero(), [this, name = member.settings.name,
                                      incarnation = member.self.incarnation, run = step.run] {
        const auto found = m_members.find(name);
        if (found != m_members.end() && found->second->self.incarnation == incarnation)
            found->second->backend->cancel(run);
    });
}

void virtual_fleet::applyAction(live_member &member, send_peer &step)
{
    ++m_messagesSent[member.settings.name];
    const auto target = m_memberSettings.find(step.node);
    if (target == m_memberSettings.end() || !canReach(member.settings.zone, target->second.zone))
        return;
    const bool sameZone = member.settings.zone == target->second.zone;
    const duration delay = sameZone ? m_options.sameZoneDelay : m_options.crossZoneDelay;
    const node_ref from = member.self;
    m_events.after(delay, [this, from, message = std::move(step)] {
        const auto found = m_members.find(message.node);
        if (found == m_members.end())
            return;
        const node_ref &receiver = found->second->self;
        // Like the wire layer, refuses a frame that is meant for another incarnation.
        if (!canReach(from.zone, receiver.zone)
            || (message.receiver != 0 && message.receiver != receiver.incarnation))
            return;
        deliver(message.node, receiver.incarnation, [this, from, message](live_member &self) {
            action_list out;
            self.core->peerMessage(from, message.message, m_events.now(), out);
            perform(self, std::move(out));
        });
    });
}

void virtual_fleet::applyAction(live_member &member, append_log &step)
{
    const std::string name = member.settings.name;
    const incarnation_id incarnation = member.self.incarnation;
    const std::string zone = member.settings.zone;
    m_events.after(m_options.logDelay, [this, name, incarnation, zone, step] {
        tl::expected<std::int64_t, error_kind> offset = tl::unexpected(error_kind::log_unavailable);
        if (!m_zonesCutFromLog.contains(zone))
            offset = m_log.append(step.stream, step.data, m_events.now());
        m_events.after(m_options.logDelay, [this, name, incarnation, step, offset] {
            deliver(name, incarnation, [this, step, offset](live_member &self) {
                action_list out;
                self.core->appendDone(step.append, offset, m_events.now(), out);
                perform(self, std::move(out));
            });
        });
    });
}

void virtual_fleet::applyAction(live_member &member, read_log &step)
{
    log_subscription &target = member.logSubscriptions[step.stream];
    target.next = step.from;
    target.generation = m_nextSubscription++;
    pollLog(member.settings.name, member.self.incarnation, step.stream, target.generation);
}

void virtual_fleet::applyAction(live_member &member, stop_reading &step)
{
    member.logSubscriptions.erase(step.stream);
}

void virtual_fleet::pollLog(const std::string &node, incarnation_id incarnation,
                            const std::string &stream, std::uint64_t generation)
{
    m_events.after(m_options.logDelay, [this, node, incarnation, stream, generation] {
        const auto member = m_members.find(node);
        if (member == m_members.end() || member->second->self.incarnation != incarnation)
            return;
        const auto target = member->second->logSubscriptions.find(stream);
        if (target == member->second->logSubscriptions.end()
            || target->second.generation != generation)
            return;
        if (!m_zonesCutFromLog.contains(member->second->settings.zone)) {
            const tl::expected<virtual_log::read_result, error_kind> result =
                    m_log.read(stream, target->second.next, m_events.now());
            if (result) {
                if (!result->records.empty())
                    target->second.next = result->records.back().offset + 1;
                deliver(node, incarnation, [this, stream, result](live_member &self) {
                    action_list out;
                    self.core->onLogRecords(stream, result->records, result->first, result->end,
                                            m_events.now(), out);
                    perform(self, std::move(out));
                });
            }
        }
        m_events.after(logPollInterval, [this, node, incarnation, stream, generation] {
            pollLog(node, incarnation, stream, generation);
        });
    });
}

} // namespace tamarackridge::scenario
