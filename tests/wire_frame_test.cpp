#include "wire/frame.h"
#include "wire/generated/peer.pb.h"

#include <gtest/gtest.h>

namespace tamarackridge {
namespace {

const frame_header header{{"zone a", "node 1", 0x1111}, 0x2222, 77};

shared_body body(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

// Bytes that are not valid UTF-8 must be preserved as well.
const http_request request{
        "POST", "/invoices?m=1", {{"A", "\xff"}, {"A", "2"}}, body({"in\0voice", 8})};
const http_response response{201, {{"Set-Cookie", "x"}}, body("whole")};
const trace_context trace{{1, 2, 3}, {4, 5}, true};
const request_context context{"route",      "service",    "customer", 7, true,
                              duration(11), duration(12), 3,          4, trace};
const executor_load load{5, 150, 40, 9};

// One message of each kind, with every field set to a value other than its default.
std::vector<peer_message> samples()
{
    return {
            dispatch{{21, 22}, context, request},
            dispatch_response{{23, 24}, run_state::ran, error_kind::overloaded, response, 2, load},
            dispatch_cancel{{25, 26}},
            owner_call{27, "id", "customer", duration(28), trace, request},
            owner_response{29, run_state::unknown, error_kind::leaving, response},
            ledger_handover{30,
                            {1, 2},
                            duration(31),
                            {{32, ledger_state::answered, 33, "customer", duration(34), response}}},
            token_request{35, {{"a", 36}, {"b", 37}}},
            token_grant{38, 39, duration(40), {{"a", 41}}},
            token_report{42, {{"a", 43}}, {{"b", 44}}},
            heartbeat{45, 46, duration(47), load, {{"zone", duration(57)}}},
            entry_summary{{{entry_kind::quarantine, "key", {48, 49}}}, true},
            entries{{{entry_kind::suspicion, "key", {50, 51}, "payload"}}},
            config_fetch{52},
            config_state{53, 54, "{}"},
            config_records{{{55, duration(56), "record"}}},
    };
}

std::span<const std::byte> bytesOf(const std::string &text)
{
    return std::as_bytes(std::span(text));
}

// Counts the fields that are not set in the message and in all nested messages.
int unsetFields(const google::protobuf::Message &message)
{
    const google::protobuf::Descriptor &type = *message.GetDescriptor();
    const google::protobuf::Reflection &access = *message.GetReflection();
    std::vector<const google::protobuf::FieldDescriptor *> set;
    access.ListFields(message, &set);
    const bool alternatives = type.real_oneof_decl_count() > 0;
    int missing = alternatives ? 1 - static_cast<int>(set.size())
                               : type.field_count() - static_cast<int>(set.size());
    for (const google::protobuf::FieldDescriptor *field : set) {
        if (field->cpp_type() != google::protobuf::FieldDescriptor::CPPTYPE_MESSAGE)
            continue;
        missing += field->is_repeated() ? unsetFields(access.GetRepeatedMessage(message, field, 0))
                                        : unsetFields(access.GetMessage(message, field));
    }
    return missing;
}

// Guards against a field that is not encoded.
TEST(wire_frame, every_field_of_every_message_is_encoded)
{
    ASSERT_EQ(samples().size(), std::variant_size_v<peer_message>);
    for (const peer_message &message : samples()) {
        pb::Envelope envelope;
        pb::PeerMessage payload;
        ASSERT_TRUE(envelope.ParseFromString(encodePeerMessage(header, message)));
        ASSERT_TRUE(payload.ParseFromString(envelope.payload()));
        EXPECT_EQ(unsetFields(payload), 0) << payload.ShortDebugString();
    }
}

// Guards against a field that is not decoded or is decoded into another field.
TEST(wire_frame, every_message_survives_a_round_trip)
{
    for (const peer_message &message : samples()) {
        const std::string bytes = encodePeerMessage(header, message);
        const tl::expected<decoded_frame, error_kind> frame = decodePeerMessage(bytesOf(bytes));
        ASSERT_TRUE(frame.has_value()) << "alternative " << message.index();
        EXPECT_EQ(frame->message.index(), message.index());
        EXPECT_EQ(frame->header.sender, header.sender);
        EXPECT_EQ(encodePeerMessage(frame->header, frame->message), bytes);
    }
}

// Guards against confusing an error with the value 0 with an absent error.
TEST(wire_frame, absent_error_stays_absent)
{
    dispatch_response sent{{1, 2}, run_state::ran, std::nullopt, response, 0, load};
    for (const std::optional<error_kind> error : {std::optional<error_kind>(), {error_kind{}}}) {
        sent.error = error;
        const std::string bytes = encodePeerMessage(header, sent);
        const tl::expected<decoded_frame, error_kind> frame = decodePeerMessage(bytesOf(bytes));
        ASSERT_TRUE(frame.has_value());
        EXPECT_EQ(std::get<dispatch_response>(frame->message).error, error);
    }
}

// Guards against applying a part of a truncated frame.
TEST(wire_frame, truncated_frames_are_rejected)
{
    for (const peer_message &message : samples()) {
        const std::string bytes = encodePeerMessage(header, message);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            EXPECT_FALSE(decodePeerMessage(bytesOf(bytes).first(length)).has_value())
                    << "alternative " << message.index() << " cut to " << length;
        }
    }
}

// Guards against accepting a corrupted field of the envelope or the payload.
TEST(wire_frame, corrupted_frames_are_rejected)
{
    const std::string bytes = encodePeerMessage(header, samples().front());
    for (std::size_t position = 0; position < bytes.size(); ++position) {
        for (const int bit : {0x01, 0x10, 0x80}) {
            std::string corrupted = bytes;
            corrupted[position] = static_cast<char>(corrupted[position] ^ bit);
            EXPECT_FALSE(decodePeerMessage(bytesOf(corrupted)).has_value()) << "byte " << position;
        }
    }
}

// Guards against decoding a frame of another protocol version as if it had this version.
TEST(wire_frame, other_versions_are_a_protocol_mismatch)
{
    pb::Envelope envelope;
    ASSERT_TRUE(envelope.ParseFromString(encodePeerMessage(header, heartbeat{})));
    envelope.set_version(protocolVersion + 1);
    EXPECT_EQ(decodePeerMessage(bytesOf(envelope.SerializeAsString())).error(),
              error_kind::protocol_mismatch);
}

// Guards against accepting enumeration values, ranks or amounts that are out of range.
TEST(wire_frame, values_out_of_range_are_rejected)
{
    const std::vector<peer_message> invalid = {
            dispatch_response{{1, 2}, static_cast<run_state>(3), std::nullopt, response, 0, load},
            dispatch_response{
                    {1, 2}, run_state::ran, static_cast<error_kind>(200), response, 0, load},
            entry_summary{{{static_cast<entry_kind>(9), "key", {1, 2}}}, false},
            ledger_handover{1, {}, {}, {{1, static_cast<ledger_state>(4), 0, "", {}, response}}},
            token_request{1, {{"a", -1}}},
    };
    for (const peer_message &message : invalid) {
        const std::string bytes = encodePeerMessage(header, message);
        EXPECT_EQ(decodePeerMessage(bytesOf(bytes)).error(), error_kind::frame_invalid);
    }
}

} // namespace
} // namespace tamarackridge
