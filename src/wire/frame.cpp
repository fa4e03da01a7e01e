#include "wire/frame.h"

#include "peer.pb.h"
#include "wire/message_conversion.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>
#include <xxhash.h>

#include <array>
#include <limits>

namespace tamarackridge {
namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedOutputStream;

// Seeds the payload's checksum with the header fields, so that a corrupted sender, receiver or
// sequence is detected as well.
std::uint64_t checksumOf(const frame_header &header, std::string_view payload)
{
    const std::array<std::uint64_t, 5> fields = {
            header.sender.incarnation, header.receiver, header.sequence,
            XXH3_64bits(header.sender.zone.data(), header.sender.zone.size()),
            XXH3_64bits(header.sender.name.data(), header.sender.name.size())};
    const std::uint64_t seed = XXH3_64bits(fields.data(), sizeof fields);
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

// Appends the payload as the envelope's last field. Writing it directly avoids a copy into a bytes
// field of the envelope.
void appendPayload(const std::string &payload, std::string &frame)
{
    google::protobuf::io::StringOutputStream stream(&frame);
    CodedOutputStream coded(&stream);
    coded.WriteTag(WireFormatLite::MakeTag(pb::Envelope::kPayloadFieldNumber,
                                           WireFormatLite::WIRETYPE_LENGTH_DELIMITED));
    coded.WriteVarint32(static_cast<std::uint32_t>(payload.size()));
    coded.WriteString(payload);
}

} // namespace

std::string encodePeerMessage(const frame_header &header, const peer_message &message)
{
    pb::PeerMessage converted;
    internal::toProtobuf(message, converted);
    const std::string payload = converted.SerializeAsString();

    pb::Envelope envelope;
    envelope.set_version(protocolVersion);
    envelope.set_sender_zone(header.sender.zone);
    envelope.set_sender_name(header.sender.name);
    envelope.set_sender_life(header.sender.incarnation);
    envelope.set_receiver(header.receiver);
    envelope.set_sequence(header.sequence);
    envelope.set_checksum(checksumOf(header, payload));
    std::string frame;
    frame.reserve(envelope.ByteSizeLong() + payload.size() + 16);
    envelope.AppendToString(&frame);
    appendPayload(payload, frame);
    return frame;
}

tl::expected<decoded_frame, error_kind> decodePeerMessage(std::span<const std::byte> bytes)
{
    pb::Envelope envelope;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected(error_kind::frame_invalid);
    }
    if (envelope.version() != protocolVersion)
        return tl::unexpected(error_kind::protocol_mismatch);
    frame_header header{{std::move(*envelope.mutable_sender_zone()),
                         std::move(*envelope.mutable_sender_name()), envelope.sender_life()},
                        envelope.receiver(),
                        envelope.sequence()};
    pb::PeerMessage payload;
    if (header.sender.name.empty() || checksumOf(header, envelope.payload()) != envelope.checksum()
        || !payload.ParseFromString(envelope.payload())) {
        return tl::unexpected(error_kind::frame_invalid);
    }
    std::optional<peer_message> message = internal::fromProtobuf(payload);
    if (!message)
        return tl::unexpected(error_kind::frame_invalid);
    return decoded_frame{std::move(header), std::move(*message)};
}

} // namespace tamarackridge
