#include "peer.pb.h"
#include "wire/message_conversion.h"

#include "tamarackridge/src/base/error_kind.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace tamarackridge::internal {
namespace {

// Every decode function returns false if a value is out of range. The entire frame is then
// rejected, so a partly filled result is never used.

template <std::size_t Size>
bool decodeBytes(const std::string &in, std::array<std::uint8_t, Size> &out)
{
    if (in.size() != Size)
        return false;
    std::copy(in.begin(), in.end(), out.begin());
    return true;
}

template <class Enum>
bool decodeEnum(std::uint32_t in, std::size_t count, Enum &out)
{
    out = static_cast<Enum>(in);
    return in < count;
}

bool decodeRank(std::uint32_t in, std::uint8_t &out)
{
    out = static_cast<std::uint8_t>(in);
    return in <= std::numeric_limits<std::uint8_t>::max();
}

bool decodeState(std::uint32_t in, run_state &out)
{
    return decodeEnum(in, static_cast<std::size_t>(run_state::unknown) + 1, out);
}

template <class List>
void decodeHeaders(List &in, std::vector<http_header> &out)
{
    out.reserve(static_cast<std::size_t>(in.size()));
    for (pb::Header &header : in)
        out.push_back({std::move(*header.mutable_name()), std::move(*header.mutable_value())});
}

shared_body decodeBody(std::string &in)
{
    return in.empty() ? nullptr : std::make_shared<const std::string>(std::move(in));
}

bool decode(pb::HttpRequest &in, http_request &out)
{
    out.method = std::move(*in.mutable_method());
    out.target = std::move(*in.mutable_target());
    decodeHeaders(*in.mutable_headers(), out.headers);
    out.body = decodeBody(*in.mutable_body());
    return true;
}

bool decode(pb::HttpAnswer &in, http_response &out)
{
    out.status = in.status();
    decodeHeaders(*in.mutable_headers(), out.headers);
    out.body = decodeBody(*in.mutable_body());
    return out.status >= 0 && out.status <= 999;
}

bool decode(pb::TraceContext &in, trace_context &out)
{
    out.sampled = in.sampled();
    return decodeBytes(in.trace_id(), out.traceId) && decodeBytes(in.span_id(), out.spanId);
}

bool decode(pb::RequestContext &in, request_context &out)
{
    out.route = std::move(*in.mutable_route());
    out.service = std::move(*in.mutable_service());
    out.customer = std::move(*in.mutable_customer());
    out.idempotent = in.idempotent();
    out.deadlineLeft = duration(in.deadline_left());
    out.chainAge = duration(in.chain_age());
    out.attempts = in.attempts();
    out.depth = in.depth();
    return decodeRank(in.priority_rank(), out.priorityRank)
           && decode(*in.mutable_trace(), out.trace);
}

bool decode(const pb::ExecutorLoad &in, executor_load &out)
{
    out.limit = in.limit();
    out.inFlight = in.in_flight();
    out.queued = in.queued();
    return decodeRank(in.shed_threshold(), out.shedThreshold);
}

dispatch_id decodeId(const pb::DispatchId &in)
{
    return {in.owner(), in.sequence()};
}

// Decodes the fields that dispatch_response and owner_response have in common.
template <class Converted, class Response>
bool decodeOutcome(Converted &in, Response &out)
{
    if (in.has_error()) {
        error_kind kind{};
        if (!decodeEnum(in.error(), errorResponses().size(), kind))
            return false;
        out.error = kind;
    }
    return decodeState(in.state(), out.state) && decode(*in.mutable_answer(), out.response);
}

bool decode(pb::LedgerEntry &in, ledger_entry &out)
{
    out.sequence = in.sequence();
    out.requestDigest = in.request_digest();
    out.customer = std::move(*in.mutable_customer());
    out.age = duration(in.age());
    return decodeEnum(in.state(), static_cast<std::size_t>(ledger_state::unknown) + 1, out.state)
           && decode(*in.mutable_answer(), out.response);
}

bool decode(pb::TokenAmount &in, token_amount &out)
{
    out.customer = std::move(*in.mutable_customer());
    out.amount = in.amount();
    return out.amount >= 0;
}

bool decode(pb::EntryStamp &in, entry_stamp &out)
{
    out.key = std::move(*in.mutable_key());
    out.version = {in.life(), in.counter()};
    return decodeEnum(in.kind(), static_cast<std::size_t>(entry_kind::quarantine) + 1, out.kind);
}

bool decode(pb::OverlayEntry &in, overlay_entry &out)
{
    entry_stamp stamp;
    const bool valid = decode(*in.mutable_stamp(), stamp);
    out = {stamp.kind, std::move(stamp.key), stamp.version, std::move(*in.mutable_payload())};
    return valid;
}

bool decode(pb::LogRecord &in, log_record &out)
{
    out = {in.offset(), duration(in.age()), std::move(*in.mutable_data())};
    return true;
}

template <class List, class Element>
bool decodeList(List &in, std::vector<Element> &out)
{
    out.resize(static_cast<std::size_t>(in.size()));
    std::size_t index = 0;
    return std::all_of(in.begin(), in.end(),
                       [&](auto &element) { return decode(element, out[index++]); });
}

bool decode(pb::Dispatch &in, dispatch &out)
{
    out.id = decodeId(in.id());
    return decode(*in.mutable_context(), out.context) && decode(*in.mutable_request(), out.request);
}

bool decode(pb::DispatchAnswer &in, dispatch_response &out)
{
    out.id = decodeId(in.id());
    out.attemptsUnused = in.attempts_unused();
    if (in.has_load() && !decode(in.load(), out.load.emplace()))
        return false;
    return decodeOutcome(in, out);
}

bool decode(pb::DispatchCancel &in, dispatch_cancel &out)
{
    out.id = decodeId(in.id());
    return true;
}

bool decode(pb::OwnerCall &in, owner_call &out)
{
    out.call = in.call();
    out.requestId = std::move(*in.mutable_request_id());
    out.customer = std::move(*in.mutable_customer());
    out.deadlineLeft = duration(in.deadline_left());
    return decode(*in.mutable_trace(), out.trace) && decode(*in.mutable_request(), out.request);
}

bool decode(pb::OwnerAnswer &in, owner_response &out)
{
    out.call = in.call();
    return decodeOutcome(in, out);
}

bool decode(pb::LedgerHandover &in, ledger_handover &out)
{
    out.incarnation = in.life();
    out.clockAge = duration(in.clock_age());
    return decodeBytes(in.secret(), out.secret) && decodeList(*in.mutable_entries(), out.entries);
}

bool decode(pb::TokenRequest &in, token_request &out)
{
    out.sequence = in.sequence();
    return decodeList(*in.mutable_wanted(), out.wanted);
}

bool decode(pb::TokenGrant &in, token_grant &out)
{
    out.sequence = in.sequence();
    out.grant = in.grant();
    out.lease = duration(in.lease());
    return decodeList(*in.mutable_granted(), out.granted);
}

bool decode(pb::TokenReport &in, token_report &out)
{
    out.grant = in.grant();
    return decodeList(*in.mutable_spent(), out.spent)
           && decodeList(*in.mutable_returned(), out.returned);
}

bool decode(pb::Heartbeat &in, heartbeat &out)
{
    out.directoryDigest = in.directory_digest();
    out.configVersion = in.config_version();
    out.confirmationAge = duration(in.confirmation_age());
    for (pb::ZoneContact &contact : *in.mutable_zones()) {
        if (contact.silence() < 0)
            return false;
        out.zones.push_back({std::move(*contact.mutable_zone()), duration(contact.silence())});
    }
    return decode(in.load(), out.load);
}

bool decode(pb::EntrySummary &in, entry_summary &out)
{
    out.wantsReply = in.wants_reply();
    return decodeList(*in.mutable_stamps(), out.stamps);
}

bool decode(pb::Entries &in, entries &out)
{
    return decodeList(*in.mutable_list(), out.list);
}

bool decode(pb::ConfigFetch &in, config_fetch &out)
{
    out.haveVersion = in.have_version();
    return true;
}

bool decode(pb::ConfigState &in, config_state &out)
{
    out = {in.version(), in.covered_offset(), std::move(*in.mutable_set())};
    return true;
}

bool decode(pb::ConfigRecords &in, config_records &out)
{
    return decodeList(*in.mutable_records(), out.records);
}

template <class Message, class Converted>
std::optional<peer_message> convert(Converted &in)
{
    std::optional<peer_message> result{Message{}};
    if (!decode(in, std::get<Message>(*result)))
        return std::nullopt;
    return result;
}

} // namespace

std::optional<peer_message> fromProtobuf(pb::PeerMessage &in)
{
    switch (in.kind_case()) {
    case pb::PeerMessage::kDispatch:
        return convert<dispatch>(*in.mutable_dispatch());
    case pb::PeerMessage::kDispatchAnswer:
        return convert<dispatch_response>(*in.mutable_dispatch_answer());
    case pb::PeerMessage::kDispatchCancel:
        return convert<dispatch_cancel>(*in.mutable_dispatch_cancel());
    case pb::PeerMessage::kOwnerCall:
        return convert<owner_call>(*in.mutable_owner_call());
    case pb::PeerMessage::kOwnerAnswer:
        return convert<owner_response>(*in.mutable_owner_answer());
    case pb::PeerMessage::kLedgerHandover:
        return convert<ledger_handover>(*in.mutable_ledger_handover());
    case pb::PeerMessage::kTokenRequest:
        return convert<token_request>(*in.mutable_token_request());
    case pb::PeerMessage::kTokenGrant:
        return convert<token_grant>(*in.mutable_token_grant());
    case pb::PeerMessage::kTokenReport:
        return convert<token_report>(*in.mutable_token_report());
    case pb::PeerMessage::kHeartbeat:
        return convert<heartbeat>(*in.mutable_heartbeat());
    case pb::PeerMessage::kEntrySummary:
        return convert<entry_summary>(*in.mutable_entry_summary());
    case pb::PeerMessage::kEntries:
        return convert<entries>(*in.mutable_entries());
    case pb::PeerMessage::kConfigFetch:
        return convert<config_fetch>(*in.mutable_config_fetch());
    case pb::PeerMessage::kConfigState:
        return convert<config_state>(*in.mutable_config_state());
    case pb::PeerMessage::kConfigRecords:
        return convert<config_records>(*in.mutable_config_records());
    case pb::PeerMessage::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace tamarackridge::internal
