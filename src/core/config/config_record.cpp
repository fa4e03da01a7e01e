#include "tamarackridge/src/config/config_record.h"

#include "config_codec.h"
#include "json_fields.h"

#include <limits>

namespace tamarackridge {
namespace {

using internal::json;
using internal::object_reader;

constexpr std::int64_t maxOffset = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t maxPublicationIdBytes = 64;

using decoded = tl::expected<config_record, error_kind>;

decoded invalid()
{
    return tl::unexpected(error_kind::log_record_invalid);
}

decoded decodePublication(object_reader &reader, config_errors &errors)
{
    publication record;
    record.id = reader.text("id", true).value_or("");
    record.base = reader.integer("base", -1, maxOffset, true).value_or(-1);
    const json *delta = reader.field("delta", true);
    reader.reportUnknownFields();
    if (delta != nullptr)
        record.delta = internal::readDelta(*delta, errors);
    if (!errors.empty() || record.id.empty() || record.id.size() > maxPublicationIdBytes)
        return invalid();
    return record;
}

decoded decodeSnapshot(object_reader &reader, config_errors &errors)
{
    const std::int64_t version = reader.integer("version", 0, maxOffset, true).value_or(0);
    const std::int64_t covered = reader.integer("covered", 0, maxOffset, true).value_or(0);
    const json *content = reader.field("set", true);
    reader.reportUnknownFields();
    if (!errors.empty() || version > covered)
        return invalid();
    tl::expected<config_set, config_errors> set = internal::readSet(*content, {});
    if (!set)
        return invalid();
    return config_snapshot{version, covered, std::move(*set)};
}

} // namespace

std::string encodePublication(const publication &record)
{
    return json{{"kind", "publish"},
                {"id", record.id},
                {"base", record.base},
                {"delta", internal::writeDelta(record.delta)}}
            .dump();
}

std::string encodeSnapshot(std::int64_t version, std::int64_t covered, const config_set &set)
{
    return json{{"kind", "snapshot"},
                {"version", version},
                {"covered", covered},
                {"set", internal::writeSet(set)}}
            .dump();
}

tl::expected<config_record, error_kind> decodeConfigRecord(std::string_view data)
{
    config_errors errors;
    const std::optional<json> value = internal::parseJson(data, false, errors);
    if (!value || !errors.empty())
        return invalid();
    object_reader reader(*value, "", errors);
    const std::string kind = reader.text("kind", true).value_or("");
    if (kind == "publish")
        return decodePublication(reader, errors);
    if (kind == "snapshot")
        return decodeSnapshot(reader, errors);
    return invalid();
}

} // namespace tamarackridge
