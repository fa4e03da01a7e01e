#include "node/status_text.h"

#include "process/json_line.h"

#include <array>
#include <cstdio>

namespace tamarackridge {
namespace {

std::string hex(std::uint64_t number)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

std::int64_t milliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string memberList(const std::vector<std::string> &members)
{
    std::string list = "[";
    for (const std::string &member : members) {
        if (list.size() > 1)
            list += ',';
        appendJsonString(member, list);
    }
    return list + ']';
}

std::string loadText(const executor_load &load)
{
    return json_line()
            .add("shed_threshold", static_cast<unsigned>(load.shedThreshold))
            .add("limit", load.limit)
            .add("in_flight", load.inFlight)
            .add("queued", load.queued)
            .finish();
}

} // namespace

std::string statusText(const node_status &status)
{
    json_line counters;
    for (const auto &[name, value] : status.counters)
        counters.add(name, value);
    return json_line()
            .add("zone", status.self.zone)
            .add("node", status.self.name)
            .add("incarnation", hex(status.self.incarnation))
            .add("config_version", status.configVersion)
            .add("confirmation_age_ms", milliseconds(status.confirmationAge))
            .add("ready", status.ready)
            .add("leaving", status.leaving)
            .add("service", status.service)
            .addRaw("load", loadText(status.load))
            .add("calls_in_flight", status.callsInFlight)
            .add("members_known", status.membersKnown)
            .add("quota_slots_held", status.quotaSlotsHeld)
            .addRaw("counters", counters.finish())
            .addRaw("members", memberList(status.members))
            .finish();
}

void updateStatusGauges(const node_status &status, metrics_registry &metrics)
{
    const auto set = [&](const char *name, const char *help, auto value) {
        metrics.gauge(name, help).Set(static_cast<double>(value));
    };
    set("tamarackridge_ready", "Whether the node serves requests.", status.ready ? 1 : 0);
    set("tamarackridge_config_version", "Configuration in force.", status.configVersion);
    set("tamarackridge_confirmation_age_ms", "Time since the log's end was confirmed.",
        milliseconds(status.confirmationAge));
    set("tamarackridge_calls_in_flight", "Requests being decided or run.", status.callsInFlight);
    set("tamarackridge_concurrency_limit", "Learned limit of the backend server.",
        status.load.limit);
    set("tamarackridge_backend_in_flight", "Requests on the backend server.", status.load.inFlight);
    set("tamarackridge_backend_queued", "Requests queued for the backend server.",
        status.load.queued);
    set("tamarackridge_members_known", "Members in the directory.", status.membersKnown);
    set("tamarackridge_quota_slots_held", "Quota slots held.", status.quotaSlotsHeld);
    for (const auto &[name, value] : status.counters) {
        metrics.gauge("tamarackridge_core_count", "Counters of the decisions.", {{"name", name}})
                .Set(static_cast<double>(value));
    }
}

} // namespace tamarackridge
