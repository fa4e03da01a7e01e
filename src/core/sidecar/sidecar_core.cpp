#include "tamarackridge/src/sidecar/sidecar_core.h"

#include "core/sidecar/sidecar_state.h"

#include <utility>

namespace tamarackridge {

class sidecar_core::implementation : public internal::sidecar_state
{
public:
    using internal::sidecar_state::sidecar_state;
};

sidecar_core::sidecar_core(sidecar_options options, set_decoder decoder,
                           decision_observer &observer, random_source &random)
    : m_implementation(std::make_unique<implementation>(std::move(options), std::move(decoder),
                                                        observer, random))
{ }

sidecar_core::~sidecar_core() = default;

void sidecar_core::configurationRead(std::string_view text, std::string_view source, time_point now,
                                     action_list &)
{
    m_implementation->configurationRead(text, source, now);
}

void sidecar_core::membersListed(const std::vector<seed_peer> &members, time_point now,
                                 action_list &)
{
    m_implementation->membersListed(members, now);
}

void sidecar_core::callerRequest(call_id call, http_request request, time_point now,
                                 action_list &out)
{
    m_implementation->requestHandler().callerRequest(call, std::move(request), now, out);
}

void sidecar_core::callerDisconnected(call_id call, time_point now, action_list &out)
{
    m_implementation->requestHandler().callerDisconnected(call, now, out);
}

void sidecar_core::peerMessage(const node_ref &from, peer_message message, time_point now,
                               action_list &out)
{
    m_implementation->peerMessage(from, std::move(message), now, out);
}

void sidecar_core::peerRestarted(std::string_view node, incarnation_id incarnation, time_point now,
                                 action_list &out)
{
    m_implementation->peerRestarted(node, incarnation, now, out);
}

void sidecar_core::peerUnresponsive(std::string_view node, time_point now, action_list &out)
{
    m_implementation->peerUnresponsive(node, now, out);
}

void sidecar_core::dispatchNotSent(std::string_view node, std::uint64_t sequence, time_point now,
                                   action_list &out)
{
    m_implementation->dispatches().dispatchNotSent(node, sequence, now, out);
}

void sidecar_core::departuresRead(const recorded_departures &records, time_point now,
                                  action_list &out)
{
    m_implementation->departuresRead(records, now, out);
}

void sidecar_core::crashRecordsRead(std::span<const crash_record> records, time_point now,
                                    action_list &out)
{
    m_implementation->crashRecordsRead(records, now, out);
}

void sidecar_core::serverChecked(std::string_view instance, bool passed, time_point now,
                                 action_list &out)
{
    m_implementation->serverChecked(instance, passed, now, out);
}

bool sidecar_core::serverReported(const server_report &report, time_point now, action_list &out)
{
    return m_implementation->serverReported(report, now, out);
}

void sidecar_core::serverLeaving(std::string_view instance, std::optional<std::int64_t> startedAt,
                                 time_point now, action_list &out)
{
    m_implementation->serverLeaving(instance, startedAt, now, out);
}

void sidecar_core::backendResponse(run_id run, backend_result result, time_point now,
                                   action_list &out)
{
    m_implementation->backendResponse(run, std::move(result), now, out);
}

void sidecar_core::backendCrashed(time_point now, action_list &out)
{
    m_implementation->backendCrashed(now, out);
}

void sidecar_core::tick(time_point now, action_list &out)
{
    m_implementation->tick(now, out);
}

time_point sidecar_core::nextTick() const
{
    return m_implementation->nextTick();
}

void sidecar_core::beginShutdown(time_point now, time_point exitAt, action_list &out)
{
    m_implementation->beginShutdown(now, exitAt, out);
}

bool sidecar_core::drained(time_point now) const
{
    return m_implementation->drained(now);
}

void sidecar_core::endUnfinished(time_point now, action_list &out)
{
    m_implementation->requestHandler().endUnfinished(now, out);
}

bool sidecar_core::ready() const
{
    return m_implementation->ready();
}

bool sidecar_core::leaving() const
{
    return m_implementation->leaving();
}

const caller_limits &sidecar_core::limits() const
{
    return m_implementation->limits();
}

node_status sidecar_core::status(time_point now)
{
    return m_implementation->status(now);
}

} // namespace tamarackridge
