#include "tamarackridge/src/config/config_json.h"

#include "config_codec.h"
#include "json_fields.h"
#include "sections.h"
#include "validate.h"

namespace tamarackridge {
namespace internal {
namespace {

/// \brief Visitor that reads the fields of one object from JSON.
template <typename Object>
class field_reader
{
public:
    field_reader(Object &object, object_reader &reader)
        : m_object(object)
        , m_reader(reader)
    { }

    template <typename Number>
    void integer(std::string_view name, Number Object::*member, std::int64_t minValue,
                 std::int64_t maxValue, bool required)
    {
        if (const std::optional<std::int64_t> value =
                    m_reader.integer(name, minValue, maxValue, required))
            m_object.*member = static_cast<Number>(*value);
    }
    template <typename Target>
    void reference(std::string_view name, std::string Object::*member,
                   std::vector<Target> config_objects::*)
    {
        text(name, member);
    }
    template <typename Bytes>
    void bytes(std::string_view name, Bytes Object::*member)
    {
        const std::optional<std::string> value = m_reader.text(name, true);
        if (value && !fromHex(*value, m_object.*member))
            m_reader.addError(name, "expected " + std::to_string(2 * (m_object.*member).size())
                                            + " lower-case hexadecimal digits");
    }
    void text(std::string_view name, std::string Object::*member)
    {
        m_object.*member = m_reader.text(name, true).value_or(std::string());
    }
    void texts(std::string_view name, std::vector<std::string> Object::*member)
    {
        m_object.*member = m_reader.texts(name, true).value_or(std::vector<std::string>());
    }
    void flag(std::string_view name, bool Object::*member, bool required)
    {
        m_object.*member = m_reader.flag(name, required).value_or(m_object.*member);
    }

private:
    Object &m_object;
    object_reader &m_reader;
};

/// \brief Visitor that writes the fields of one object to JSON.
template <typename Object>
class field_writer
{
public:
    field_writer(const Object &object, json &out)
        : m_object(object)
        , m_out(out)
    { }

    template <typename Number>
    void integer(std::string_view name, Number Object::*member, std::int64_t, std::int64_t, bool)
    {
        m_out[name] = toInteger(m_object.*member);
    }
    template <typename Target>
    void reference(std::string_view name, std::string Object::*member,
                   std::vector<Target> config_objects::*)
    {
        m_out[name] = m_object.*member;
    }
    template <typename Bytes>
    void bytes(std::string_view name, Bytes Object::*member)
    {
        m_out[name] = toHex(m_object.*member);
    }
    void text(std::string_view name, std::string Object::*member)
    {
        m_out[name] = m_object.*member;
    }
    void texts(std::string_view name, std::vector<std::string> Object::*member)
    {
        m_out[name] = m_object.*member;
    }
    void flag(std::string_view name, bool Object::*member, bool) { m_out[name] = m_object.*member; }

private:
    const Object &m_object;
    json &m_out;
};

template <typename Object>
void readSection(object_reader &reader, config_objects &objects, config_errors &errors)
{
    const json *list = reader.field(section<Object>::name, false);
    if (list == nullptr)
        return;
    if (!list->is_object()) {
        reader.addError(section<Object>::name, "expected an object with one entry per name");
        return;
    }
    for (const auto &[name, value] : list->items()) {
        Object object;
        object.name = name;
        object_reader fields(value, std::string(section<Object>::name) + "/" + name, errors);
        field_reader<Object> target(object, fields);
        section<Object>::describe(target);
        fields.reportUnknownFields();
        listOf<Object>(objects).push_back(std::move(object));
    }
}

std::optional<fleet_settings> readSettings(object_reader &reader, config_errors &errors)
{
    const json *value = reader.field("settings", false);
    if (value == nullptr)
        return std::nullopt;
    fleet_settings settings;
    object_reader fields(*value, "settings", errors);
    field_reader<fleet_settings> target(settings, fields);
    describeSettings(target);
    fields.reportUnknownFields();
    return settings;
}

void writeSections(const config_objects &objects, json &out)
{
    forEachSection([&]<typename Object>() {
        for (const Object &object : listOf<Object>(objects)) {
            json &entry = out[section<Object>::name][object.name];
            entry = json::object();
            field_writer<Object> target(object, entry);
            section<Object>::describe(target);
        }
    });
}

void writeSettings(const fleet_settings &settings, json &out)
{
    field_writer<fleet_settings> target(settings, out["settings"]);
    describeSettings(target);
}

void readDeletes(const json &value, std::vector<object_name> &deletes, config_errors &errors)
{
    object_reader reader(value, "deletes", errors);
    forEachSection([&]<typename Object>() {
        for (std::string &name :
             reader.texts(section<Object>::name, false).value_or(std::vector<std::string>()))
            deletes.push_back({std::string(section<Object>::name), std::move(name)});
    });
    reader.reportUnknownFields();
    std::sort(deletes.begin(), deletes.end());
}

} // namespace

static config_objects readObjects(const json &value, config_errors &errors)
{
    config_objects objects;
    object_reader reader(value, "", errors);
    objects.settings = readSettings(reader, errors).value_or(fleet_settings());
    forEachSection([&]<typename Object>() { readSection<Object>(reader, objects, errors); });
    reader.reportUnknownFields();
    return objects;
}

tl::expected<config_set, config_errors> readSet(const json &value, config_errors errors)
{
    config_objects objects = readObjects(value, errors);
    if (errors.empty())
        return config_set::create(std::move(objects));
    normalise(objects);
    return tl::unexpected(validateAfter(std::move(errors), objects));
}

config_delta readDelta(const json &value, config_errors &errors)
{
    config_delta delta;
    object_reader reader(value, "", errors);
    if (const json *upserts = reader.field("upserts", false)) {
        object_reader sections(*upserts, "", errors);
        delta.settings = readSettings(sections, errors);
        forEachSection(
                [&]<typename Object>() { readSection<Object>(sections, delta.upserts, errors); });
        sections.reportUnknownFields();
    }
    if (const json *deletes = reader.field("deletes", false))
        readDeletes(*deletes, delta.deletes, errors);
    reader.reportUnknownFields();
    normalise(delta.upserts);
    return delta;
}

json writeSet(const config_set &set)
{
    json out = json::object();
    writeSettings(set.settings(), out);
    writeSections(set.objects(), out);
    return out;
}

json writeDelta(const config_delta &delta)
{
    json out = {{"upserts", json::object()}, {"deletes", json::object()}};
    if (delta.settings)
        writeSettings(*delta.settings, out["upserts"]);
    writeSections(delta.upserts, out["upserts"]);
    for (const object_name &name : delta.deletes)
        out["deletes"][name.section].push_back(name.name);
    return out;
}

} // namespace internal

tl::expected<config_set, config_errors> parseConfigSet(std::string_view text)
{
    config_errors errors;
    const std::optional<internal::json> value = internal::parseJson(text, true, errors);
    if (!value)
        return tl::unexpected(std::move(errors));
    return internal::readSet(*value, std::move(errors));
}

tl::expected<config_delta, config_errors> parseConfigDelta(std::string_view text)
{
    config_errors errors;
    const std::optional<internal::json> value = internal::parseJson(text, true, errors);
    config_delta delta;
    if (value)
        delta = internal::readDelta(*value, errors);
    if (errors.empty())
        return delta;
    std::sort(errors.begin(), errors.end());
    return tl::unexpected(std::move(errors));
}

std::string toJson(const config_set &set, int indent)
{
    return internal::writeSet(set).dump(indent);
}

std::string toJson(const config_delta &delta, int indent)
{
    return internal::writeDelta(delta).dump(indent);
}

} // namespace tamarackridge
