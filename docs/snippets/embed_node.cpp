// Embeds the decision library: one node, a clock that the example advances, a log in memory and a
// backend server that responds immediately. Shows that a resent write is executed only once.
#include "tamarackridge/config"
#include "tamarackridge/node"

#include <cstdio>
#include <map>

using namespace tamarackridge;

namespace {

constexpr duration step = std::chrono::milliseconds(10);

// Passes events to a node_core one at a time and carries out the resulting actions.
class embedded_node
{
public:
    embedded_node(node_options options, random_source &random)
        : m_core(std::move(options), random)
    {
        m_core.start(m_now, m_actions);
        performActions();
    }

    // Appends to the log in memory; returns the record's offset.
    std::int64_t append(const std::string &stream, std::string data)
    {
        std::vector<log_record> &records = m_log[stream];
        records.push_back({static_cast<std::int64_t>(records.size()), {}, std::move(data)});
        return records.back().offset;
    }

    // Advances the clock; delivers new log records to the core and calls tick() when it is due.
    void advance(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            const std::map<std::string, std::int64_t> nextOffsets = m_nextOffsets;
            for (const auto &[stream, from] : nextOffsets)
                deliverLog(stream, from);
            if (m_core.nextTick() <= m_now)
                m_core.tick(m_now, m_actions);
            performActions();
        }
    }

    // Passes a caller's request to the core and returns the response. The backend server of this
    // example responds within performActions(), so the clock need not advance.
    http_response call(http_request request)
    {
        const call_id call = ++m_lastCall;
        m_core.callerRequest(call, std::move(request), m_now, m_actions);
        performActions();
        return m_responses[call];
    }

    void announceBackend(const backend_announcement &announcement)
    {
        m_core.backendAnnounced(announcement, m_now, m_actions);
        performActions();
    }

    std::size_t slotsHeld() const { return m_core.status(m_now).quotaSlotsHeld; }
    unsigned runs() const { return m_runs; }

private:
    void deliverLog(const std::string &stream, std::int64_t from)
    {
        const std::vector<log_record> &records = m_log[stream];
        const std::span<const log_record> newRecords = std::span(records).subspan(from);
        m_nextOffsets[stream] = static_cast<std::int64_t>(records.size());
        m_core.onLogRecords(stream, newRecords, 0, static_cast<std::int64_t>(records.size()), m_now,
                            m_actions);
        performActions();
    }

    // Carrying out an action can cause an event, which appends further actions to m_actions.
    // Swapping the list out first ensures that each action is carried out once.
    void performActions()
    {
        while (!m_actions.empty()) {
            action_list actions;
            actions.swap(m_actions);
            for (action &item : actions)
                std::visit([this](auto &kind) { perform(kind); }, item);
        }
    }

    void perform(respond_to_caller &item) { m_responses[item.call] = std::move(item.response); }
    void perform(run_backend &item)
    {
        ++m_runs;
        backend_result result;
        result.bytesSent = true;
        result.response = http_response{
                201, {}, std::make_shared<const std::string>("invoice " + std::to_string(m_runs))};
        m_core.backendResponse(item.run, std::move(result), m_now, m_actions);
    }
    void perform(append_log &item)
    {
        const std::int64_t offset = append(item.stream, std::move(item.data));
        m_core.appendDone(item.append, offset, m_now, m_actions);
    }
    void perform(read_log &item) { m_nextOffsets[item.stream] = item.from; }
    void perform(stop_reading &item) { m_nextOffsets.erase(item.stream); }
    void perform(cancel_run &) { } // Not needed: the backend server responds immediately.
    void perform(send_peer &) { } // A fleet of one node has no peers.
    void perform(connect_peer &) { }
    void perform(disconnect_peer &) { }
    void perform(emit_span &) { }
    void perform(record_departure &) { } // Returned by sidecar_core only.
    void perform(record_crash &) { } // Returned by sidecar_core only.
    void perform(check_server &) { } // Returned by sidecar_core only.

    time_point m_now{std::chrono::hours(1)};
    node_core m_core;
    action_list m_actions;
    std::map<std::string, std::vector<log_record>> m_log;
    std::map<std::string, std::int64_t> m_nextOffsets; // Next offset to read, by stream.
    std::map<call_id, http_response> m_responses;
    call_id m_lastCall = 0;
    unsigned m_runs = 0;
};

constexpr std::string_view configuration = R"({
    "zones": {"oviedo": {"quota_slots": 1}},
    "priorities": {"critical": {"rank": 200}},
    "services": {"invoicing": {}},
    "customers": {"acme": {"rate": 10, "burst": 20}},
    "routes": {"invoices": {
        "path_prefix": "/invoices", "methods": ["POST"], "service": "invoicing",
        "priority": "critical", "idempotent": false, "deadline_ms": 2000, "attempts": 2
    }}
})";

// Returns the log record that `tamarackridge-ctl publish` would append for the configuration with
// one key.
std::string firstPublication(const api_key &key)
{
    config_objects objects = parseConfigSet(configuration).value().objects();
    objects.keys = {key};
    const config_set set = config_set::create(std::move(objects)).value();
    return encodePublication({"first", -1, difference(config_set(), set)});
}

http_request post(const std::string &key, std::string_view requestId)
{
    http_request request{"POST", "/invoices", {{"Authorization", "Bearer " + key}}, nullptr};
    request.body = std::make_shared<const std::string>("{}");
    if (!requestId.empty())
        request.headers.push_back({"Tamarackridge-Request-Id", std::string(requestId)});
    return request;
}

void print(const char *what, const http_response &response)
{
    std::printf("%-12s status %d, error '%s', run state '%s', body '%s'\n", what, response.status,
                std::string(headerValue(response.headers, "Tamarackridge-Error")).c_str(),
                std::string(headerValue(response.headers, "Tamarackridge-Run-State")).c_str(),
                response.status == 201 ? std::string(bodyView(response.body)).c_str() : "");
}

} // namespace

int main()
{
    // Seeded, so that each run of the example is the same. A program that serves callers must pass
    // a cryptographically secure source, from which request ids and handles are generated.
    seeded_random random(1);
    node_options options;
    options.self = {"oviedo", "node-1", random.next()};
    options.quotaClaimDelay = std::chrono::milliseconds(100);
    embedded_node node(options, random);

    const issued_key key = issueKey("acme", random);
    node.append("config", firstPublication(key.entry));
    node.announceBackend({"invoicing", "instance-1", 8, false});
    // Reads the configuration, claims the quota slot and mints the first tokens.
    node.advance(std::chrono::seconds(2));
    std::printf("quota slots held: %zu\n", node.slotsHeld());

    const http_response refused = node.call(post(key.presented, ""));
    print("without id", refused);
    const std::string id(headerValue(refused.headers, "Tamarackridge-Request-Id"));
    const http_response first = node.call(post(key.presented, id));
    print("first send", first);
    const http_response second = node.call(post(key.presented, id));
    print("second send", second);
    std::printf("runs on the backend server: %u\n", node.runs());

    const bool same = bodyView(first.body) == bodyView(second.body);
    return refused.status == 428 && first.status == 201 && same && node.runs() == 1 ? 0 : 1;
}
