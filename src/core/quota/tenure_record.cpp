#include "tamarackridge/src/quota/tenure_record.h"

#include <nlohmann/json.hpp>

namespace tamarackridge {
namespace {

using json = nlohmann::json;

// Readers calculate with these fields, so the limits leave a wide margin to 64-bit overflow.
constexpr std::int64_t maxLeaseMs = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t maxOffset = std::int64_t{1} << 53;
constexpr std::int64_t maxSlots = 1'000'000;

std::optional<std::int64_t> integerField(const json &object, const char *name, std::int64_t min,
                                         std::int64_t max)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_number_integer())
        return std::nullopt;
    if (field->is_number_unsigned()
        && field->get<std::uint64_t>() > static_cast<std::uint64_t>(max))
        return std::nullopt;
    const std::int64_t value = field->get<std::int64_t>();
    if (value < min || value > max)
        return std::nullopt;
    return value;
}

std::optional<std::uint64_t> unsignedField(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_number_unsigned())
        return std::nullopt;
    return field->get<std::uint64_t>();
}

std::optional<std::string> stringField(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_string())
        return std::nullopt;
    return field->get<std::string>();
}

} // namespace

std::string encodeTenureRecord(const tenure_record &record)
{
    const json object = {
            {"type", record.release ? "release" : "claim"},
            {"zone", record.slot.zone},
            {"slot", record.slot.index},
            {"holder_zone", record.holder.zone},
            {"holder", record.holder.name},
            {"incarnation", record.holder.incarnation},
            {"address", record.address},
            {"number", record.number},
            {"previous", record.previous},
            {"read_from", record.readFrom},
            {"slots", record.slotsInFleet},
            {"lease_ms", std::chrono::ceil<std::chrono::milliseconds>(record.lease).count()},
    };
    return object.dump();
}

std::optional<tenure_record> decodeTenureRecord(std::string_view data)
{
    const json object = json::parse(data, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const std::optional<std::string> type = stringField(object, "type");
    const std::optional<std::string> zone = stringField(object, "zone");
    const std::optional<std::int64_t> index = integerField(object, "slot", 0, maxSlots);
    const std::optional<std::string> holderZone = stringField(object, "holder_zone");
    const std::optional<std::string> holder = stringField(object, "holder");
    const std::optional<std::string> address = stringField(object, "address");
    const std::optional<std::uint64_t> incarnation = unsignedField(object, "incarnation");
    const std::optional<std::uint64_t> number = unsignedField(object, "number");
    const std::optional<std::int64_t> previous = integerField(object, "previous", -1, maxOffset);
    const std::optional<std::int64_t> readFrom = integerField(object, "read_from", 0, maxOffset);
    const std::optional<std::int64_t> slots = integerField(object, "slots", 1, maxSlots);
    const std::optional<std::int64_t> lease = integerField(object, "lease_ms", 0, maxLeaseMs);
    if (!type || !zone || !index || !holderZone || !holder || !address || !incarnation || !number
        || !previous || !readFrom || !slots || !lease || (*type != "claim" && *type != "release"))
        return std::nullopt;
    tenure_record record;
    record.slot = {*zone, static_cast<std::uint32_t>(*index)};
    record.holder = {*holderZone, *holder, *incarnation};
    record.address = *address;
    record.number = *number;
    record.previous = *previous;
    record.readFrom = *readFrom;
    record.slotsInFleet = static_cast<std::uint32_t>(*slots);
    record.lease = std::chrono::milliseconds(*lease);
    record.release = *type == "release";
    return record;
}

} // namespace tamarackridge
