#include "tamarackridge/src/node/node_core.h"

#include "core/node/node_state.h"

namespace tamarackridge {

class node_core::implementation : public internal::node_state
{
public:
    using internal::node_state::node_state;
};

node_core::node_core(node_options options, random_source &random)
    : m_implementation(std::make_unique<implementation>(std::move(options), random))
{ }

node_core::~node_core() = default;

void node_core::start(time_point now, action_list &out)
{
    m_implementation->tick(now, out);
}

void node_core::callerRequest(call_id call, http_request request, time_point now, action_list &out)
{
    m_implementation->requestHandler().callerRequest(call, std::move(request), now, out);
}

void node_core::callerDisconnected(call_id call, time_point now, action_list &out)
{
    m_implementation->requestHandler().callerDisconnected(call, now, out);
}

void node_core::peerMessage(const node_ref &from, peer_message message, time_point now,
                            action_list &out)
{
    m_implementation->peerMessage(from, std::move(message), now, out);
}

void node_core::backendAnnounced(const backend_announcement &announcement, time_point now,
                                 action_list &out)
{
    m_implementation->backendAnnounced(announcement, now, out);
}

void node_core::backendResponse(run_id run, backend_result result, time_point now, action_list &out)
{
    m_implementation->localExecutor().backendResponse(run, std::move(result), now, out);
}

void node_core::backendCrashed(time_point now, action_list &out)
{
    m_implementation->backendCrashed(now, out);
}

void node_core::onLogRecords(const std::string &stream, std::span<const log_record> records,
                             std::int64_t first, std::int64_t end, time_point now, action_list &out)
{
    m_implementation->onLogRecords(stream, records, first, end, now, out);
}

void node_core::appendDone(append_id append, tl::expected<std::int64_t, error_kind> offset,
                           time_point, action_list &)
{
    m_implementation->appendDone(append, offset.has_value());
}

void node_core::tick(time_point now, action_list &out)
{
    m_implementation->tick(now, out);
}

time_point node_core::nextTick() const
{
    return m_implementation->nextTick();
}

void node_core::beginShutdown(time_point now, action_list &out)
{
    m_implementation->beginShutdown(now, out);
}

bool node_core::drained() const
{
    return m_implementation->drained();
}

node_status node_core::status(time_point now) const
{
    return m_implementation->status(now);
}

} // namespace tamarackridge
