#include "peer.pb.h"
#include "wire/message_conversion.h"

#include <string>

namespace tamarackridge::internal {
namespace {

template <class Bytes>
std::string toBytes(const Bytes &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

template <class List>
void encodeHeaders(const std::vector<http_header> &headers, List &out)
{
    out.Reserve(static_cast<int>(headers.size()));
    for (const http_header &header : headers) {
        pb::Header &converted = *out.Add();
        converted.set_name(header.name);
        converted.set_value(header.value);
    }
}

void encode(const http_request &in, pb::HttpRequest &out)
{
    out.set_method(in.method);
    out.set_target(in.target);
    encodeHeaders(in.headers, *out.mutable_headers());
    if (in.body)
        out.set_body(*in.body);
}

void encode(const http_response &in, pb::HttpAnswer &out)
{
    out.set_status(in.status);
    encodeHeaders(in.headers, *out.mutable_headers());
    if (in.body)
        out.set_body(*in.body);
}

void encode(const trace_context &in, pb::TraceContext &out)
{
    out.set_trace_id(toBytes(in.traceId));
    out.set_span_id(toBytes(in.spanId));
    out.set_sampled(in.sampled);
}

void encode(const request_context &in, pb::RequestContext &out)
{
    out.set_route(in.route);
    out.set_service(in.service);
    out.set_customer(in.customer);
    out.set_priority_rank(in.priorityRank);
    out.set_idempotent(in.idempotent);
    out.set_deadline_left(in.deadlineLeft.count());
    out.set_chain_age(in.chainAge.count());
    out.set_attempts(in.attempts);
    out.set_depth(in.depth);
    encode(in.trace, *out.mutable_trace());
}

void encode(const executor_load &in, pb::ExecutorLoad &out)
{
    out.set_shed_threshold(in.shedThreshold);
    out.set_limit(in.limit);
    out.set_in_flight(in.inFlight);
    out.set_queued(in.queued);
}

void encode(const dispatch_id &in, pb::DispatchId &out)
{
    out.set_owner(in.owner);
    out.set_sequence(in.sequence);
}

// Encodes the fields that dispatch_response and owner_response have in common.
template <class Response, class Converted>
void encodeOutcome(const Response &in, Converted &out)
{
    out.set_state(static_cast<std::uint32_t>(in.state));
    if (in.error)
        out.set_error(static_cast<std::uint32_t>(*in.error));
    encode(in.response, *out.mutable_answer());
}

void encode(const ledger_entry &in, pb::LedgerEntry &out)
{
    out.set_sequence(in.sequence);
    out.set_state(static_cast<std::uint32_t>(in.state));
    out.set_request_digest(in.requestDigest);
    out.set_customer(in.customer);
    out.set_age(in.age.count());
    encode(in.response, *out.mutable_answer());
}

void encode(const token_amount &in, pb::TokenAmount &out)
{
    out.set_customer(in.customer);
    out.set_amount(in.amount);
}

void encode(const entry_stamp &in, pb::EntryStamp &out)
{
    out.set_kind(static_cast<std::uint32_t>(in.kind));
    out.set_key(in.key);
    out.set_life(in.version.incarnation);
    out.set_counter(in.version.counter);
}

void encode(const overlay_entry &in, pb::OverlayEntry &out)
{
    encode(entry_stamp{in.kind, in.key, in.version}, *out.mutable_stamp());
    out.set_payload(in.payload);
}

void encode(const log_record &in, pb::LogRecord &out)
{
    out.set_offset(in.offset);
    out.set_age(in.age.count());
    out.set_data(in.data);
}

template <class Element, class List>
void encodeList(const std::vector<Element> &in, List &out)
{
    out.Reserve(static_cast<int>(in.size()));
    for (const Element &element : in)
        encode(element, *out.Add());
}

// One overload for each alternative of peer_message.
struct message_encoder
{
    pb::PeerMessage &out;

    void operator()(const dispatch &in) const
    {
        pb::Dispatch &converted = *out.mutable_dispatch();
        encode(in.id, *converted.mutable_id());
        encode(in.context, *converted.mutable_context());
        encode(in.request, *converted.mutable_request());
    }
    void operator()(const dispatch_response &in) const
    {
        pb::DispatchAnswer &converted = *out.mutable_dispatch_answer();
        encode(in.id, *converted.mutable_id());
        encodeOutcome(in, converted);
        converted.set_attempts_unused(in.attemptsUnused);
        if (in.load)
            encode(*in.load, *converted.mutable_load());
    }
    void operator()(const dispatch_cancel &in) const
    {
        encode(in.id, *out.mutable_dispatch_cancel()->mutable_id());
    }
    void operator()(const owner_call &in) const
    {
        pb::OwnerCall &converted = *out.mutable_owner_call();
        converted.set_call(in.call);
        converted.set_request_id(in.requestId);
        converted.set_customer(in.customer);
        converted.set_deadline_left(in.deadlineLeft.count());
        encode(in.trace, *converted.mutable_trace());
        encode(in.request, *converted.mutable_request());
    }
    void operator()(const owner_response &in) const
    {
        pb::OwnerAnswer &converted = *out.mutable_owner_answer();
        converted.set_call(in.call);
        encodeOutcome(in, converted);
    }
    void operator()(const ledger_handover &in) const
    {
        pb::LedgerHandover &converted = *out.mutable_ledger_handover();
        converted.set_life(in.incarnation);
        converted.set_secret(toBytes(in.secret));
        converted.set_clock_age(in.clockAge.count());
        encodeList(in.entries, *converted.mutable_entries());
    }
    void operator()(const token_request &in) const
    {
        pb::TokenRequest &converted = *out.mutable_token_request();
        converted.set_sequence(in.sequence);
        encodeList(in.wanted, *converted.mutable_wanted());
    }
    void operator()(const token_grant &in) const
    {
        pb::TokenGrant &converted = *out.mutable_token_grant();
        converted.set_sequence(in.sequence);
        converted.set_grant(in.grant);
        converted.set_lease(in.lease.count());
        encodeList(in.granted, *converted.mutable_granted());
    }
    void operator()(const token_report &in) const
    {
        pb::TokenReport &converted = *out.mutable_token_report();
        converted.set_grant(in.grant);
        encodeList(in.spent, *converted.mutable_spent());
        encodeList(in.returned, *converted.mutable_returned());
    }
    void operator()(const heartbeat &in) const
    {
        pb::Heartbeat &converted = *out.mutable_heartbeat();
        converted.set_directory_digest(in.directoryDigest);
        converted.set_config_version(in.configVersion);
        converted.set_confirmation_age(in.confirmationAge.count());
        encode(in.load, *converted.mutable_load());
        for (const zone_contact &contact : in.zones) {
            pb::ZoneContact &zone = *converted.add_zones();
            zone.set_zone(contact.zone);
            zone.set_silence(contact.timeSinceContact.count());
        }
    }
    void operator()(const entry_summary &in) const
    {
        pb::EntrySummary &converted = *out.mutable_entry_summary();
        encodeList(in.stamps, *converted.mutable_stamps());
        converted.set_wants_reply(in.wantsReply);
    }
    void operator()(const entries &in) const
    {
        encodeList(in.list, *out.mutable_entries()->mutable_list());
    }
    void operator()(const config_fetch &in) const
    {
        out.mutable_config_fetch()->set_have_version(in.haveVersion);
    }
    void operator()(const config_state &in) const
    {
        pb::ConfigState &converted = *out.mutable_config_state();
        converted.set_version(in.version);
        converted.set_covered_offset(in.coveredOffset);
        converted.set_set(in.set);
    }
    void operator()(const config_records &in) const
    {
        encodeList(in.records, *out.mutable_config_records()->mutable_records());
    }
};

} // namespace

void toProtobuf(const peer_message &message, pb::PeerMessage &out)
{
    std::visit(message_encoder{out}, message);
}

} // namespace tamarackridge::internal
