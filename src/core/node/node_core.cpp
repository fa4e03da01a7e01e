#include "tamarackridge/src/node/node_core.h"

#include <unordered_map>
#include <utility>

namespace tamarackridge {

// Stub that links the binary until the decisions are in place: each request runs on the own backend
// server, and nothing is dispatched to peers.
class node_core::implementation
{
public:
    node_options options;
    std::unordered_map<run_id, call_id> runs;
    run_id lastRun = 0;
    bool leaving = false;
    std::uint64_t heartbeats = 0;
    time_point nextTick;
};

namespace {

constexpr duration runTimeout = std::chrono::seconds(10);
constexpr duration tickEvery = std::chrono::milliseconds(500);

} // namespace

node_core::node_core(node_options options, random_source &)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->options = std::move(options);
}

node_core::~node_core() = default;

void node_core::start(time_point, action_list &out)
{
    for (const seed_peer &seed : m_implementation->options.seeds)
        out.emplace_back(connect_peer{seed.node, seed.endpoint});
}

void node_core::callerRequest(call_id call, http_request request, time_point, action_list &out)
{
    const run_id run = ++m_implementation->lastRun;
    m_implementation->runs.emplace(run, call);
    out.emplace_back(run_backend{run, std::move(request), runTimeout});
}

void node_core::callerGone(call_id call, time_point, action_list &out)
{
    for (const auto &[run, owner] : m_implementation->runs) {
        if (owner == call)
            out.emplace_back(cancel_run{run});
    }
}

void node_core::peerMessage(const node_ref &, peer_message message, time_point, action_list &)
{
    const peer_message taken = std::move(message);
    if (std::holds_alternative<heartbeat>(taken))
        ++m_implementation->heartbeats;
}

void node_core::backendAnnounced(const backend_announcement &, time_point, action_list &) { }

void node_core::backendAnswer(run_id run, backend_result result, time_point, action_list &out)
{
    const auto found = m_implementation->runs.find(run);
    if (found == m_implementation->runs.end())
        return;
    http_answer answer;
    if (result.answer)
        answer = std::move(*result.answer);
    else
        answer.status = answerFor(result.answer.error()).httpStatus;
    out.emplace_back(answer_caller{found->second, std::move(answer)});
    m_implementation->runs.erase(found);
}

void node_core::backendCrashed(time_point, action_list &) { }

void node_core::logRecords(const std::string &, std::span<const log_record>, std::int64_t,
                           std::int64_t, time_point, action_list &)
{ }

void node_core::appendDone(append_id, tl::expected<std::int64_t, error_kind>, time_point,
                           action_list &)
{ }

void node_core::tick(time_point now, action_list &out)
{
    m_implementation->nextTick = now + tickEvery;
    for (const seed_peer &seed : m_implementation->options.seeds)
        out.emplace_back(send_peer{seed.node, 0, heartbeat{}});
}

time_point node_core::nextTick() const
{
    return m_implementation->nextTick;
}

void node_core::beginShutdown(time_point, action_list &)
{
    m_implementation->leaving = true;
}

bool node_core::drained() const
{
    return m_implementation->leaving && m_implementation->runs.empty();
}

node_status node_core::status(time_point) const
{
    node_status status;
    status.self = m_implementation->options.self;
    status.ready = !m_implementation->leaving;
    status.leaving = m_implementation->leaving;
    status.callsInFlight = m_implementation->runs.size();
    status.counters = {{"heartbeats", m_implementation->heartbeats}};
    return status;
}

} // namespace tamarackridge
