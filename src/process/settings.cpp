#include "process/settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace tamarackridge {
namespace {

using nlohmann::json;
using error_list = std::vector<settings_error>;

std::string joinPaths(const std::string &left, const std::string &right)
{
    if (left.empty() || right.empty() || right.front() == '[')
        return left + right;
    return left + '.' + right;
}

// Returns a field whose value `store` accepts and stores, or rejects as a single error.
settings_field simpleField(std::string path, std::string expected, field_presence presence,
                           std::function<bool(const json &)> store)
{
    std::function<error_list(const json &)> read = [expected,
                                                    store = std::move(store)](const json &value) {
        return store(value) ? error_list{} : error_list{{"", expected}};
    };
    return {std::move(path), std::move(expected), presence, std::move(read)};
}

// Returns the value at a dotted path, or null if it is absent.
const json *find(const json &object, std::string_view path)
{
    const json *current = &object;
    while (!path.empty()) {
        const std::size_t dot = std::min(path.find('.'), path.size());
        const std::string name(path.substr(0, dot));
        if (!current->is_object() || !current->contains(name))
            return nullptr;
        current = &(*current)[name];
        path.remove_prefix(std::min(dot + 1, path.size()));
    }
    return current;
}

bool isPathPrefix(const std::string &path, std::span<const settings_field> fields)
{
    return std::any_of(fields.begin(), fields.end(), [&](const settings_field &field) {
        return field.path.starts_with(path + '.');
    });
}

void findUnknownFields(const json &object, const std::string &prefix,
                       std::span<const settings_field> fields, error_list &errors)
{
    for (const auto &[name, value] : object.items()) {
        const std::string path = joinPaths(prefix, name);
        const bool known =
                std::any_of(fields.begin(), fields.end(),
                            [&](const settings_field &field) { return field.path == path; });
        if (known)
            continue;
        if (!isPathPrefix(path, fields))
            errors.push_back({path, "no field of this name"});
        else if (value.is_object())
            findUnknownFields(value, path, fields, errors);
        else
            errors.push_back({path, "an object"});
    }
}

// Parser callback that records names given twice in an object, since the JSON library would
// silently drop the first value.
class duplicate_names
{
public:
    bool operator()(int, json::parse_event_t event, json &parsed)
    {
        if (event == json::parse_event_t::object_start)
            m_openObjects.emplace_back();
        else if (event == json::parse_event_t::object_end)
            m_openObjects.pop_back();
        else if (event == json::parse_event_t::key
                 && !m_openObjects.back().insert(parsed.get<std::string>()).second)
            m_errors.push_back({parsed.get<std::string>(), "a name that occurs only once"});
        return true;
    }
    const error_list &errors() const { return m_errors; }

private:
    std::vector<std::set<std::string>> m_openObjects;
    error_list m_errors;
};

} // namespace

settings_field stringField(std::string path, std::string &target, field_presence presence)
{
    return simpleField(std::move(path), "a non-empty string", presence, [&](const json &value) {
        if (!value.is_string() || value.get_ref<const std::string &>().empty())
            return false;
        target = value.get<std::string>();
        return true;
    });
}

settings_field boolField(std::string path, bool &target, field_presence presence)
{
    return simpleField(std::move(path), "true or false", presence, [&](const json &value) {
        if (!value.is_boolean())
            return false;
        target = value.get<bool>();
        return true;
    });
}

settings_field integerField(std::string path, std::int64_t &target, std::int64_t minValue,
                            std::int64_t maxValue, field_presence presence)
{
    std::string expected =
            "an integer from " + std::to_string(minValue) + " to " + std::to_string(maxValue);
    return simpleField(std::move(path), std::move(expected), presence,
                       [&target, minValue, maxValue](const json &value) {
                           const bool fits =
                                   value.is_number_integer()
                                   && (!value.is_number_unsigned()
                                       || value.get<std::uint64_t>() <= static_cast<std::uint64_t>(
                                                  std::numeric_limits<std::int64_t>::max()));
                           if (!fits || value.get<std::int64_t>() < minValue
                               || value.get<std::int64_t>() > maxValue) {
                               return false;
                           }
                           target = value.get<std::int64_t>();
                           return true;
                       });
}

settings_field portField(std::string path, std::uint16_t &target, field_presence presence)
{
    return simpleField(
            std::move(path), "an integer from 1 to 65535", presence, [&](const json &value) {
                if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1
                    || value.get<std::uint64_t>() > std::numeric_limits<std::uint16_t>::max()) {
                    return false;
                }
                target = value.get<std::uint16_t>();
                return true;
            });
}

settings_field choiceField(std::string path, std::string &target, std::vector<std::string> choices,
                           field_presence presence)
{
    std::string expected = "one of";
    for (const std::string &choice : choices)
        expected += ' ' + choice;
    return simpleField(std::move(path), std::move(expected), presence,
                       [&target, choices = std::move(choices)](const json &value) {
                           if (!value.is_string()
                               || std::find(choices.begin(), choices.end(),
                                            value.get_ref<const std::string &>())
                                          == choices.end()) {
                               return false;
                           }
                           target = value.get<std::string>();
                           return true;
                       });
}

settings_field stringListField(std::string path, std::vector<std::string> &target,
                               field_presence presence)
{
    return simpleField(
            std::move(path), "a list of non-empty strings", presence, [&](const json &value) {
                const auto isNonEmptyString = [](const json &element) {
                    return element.is_string() && !element.get_ref<const std::string &>().empty();
                };
                if (!value.is_array() || !std::all_of(value.begin(), value.end(), isNonEmptyString))
                    return false;
                target = value.get<std::vector<std::string>>();
                return true;
            });
}

error_list readObject(const json &object, std::span<const settings_field> fields)
{
    if (!object.is_object())
        return {{"", "an object"}};
    error_list errors;
    findUnknownFields(object, {}, fields, errors);
    for (const settings_field &field : fields) {
        const json *const value = find(object, field.path);
        if (value == nullptr) {
            if (field.presence == field_presence::required)
                errors.push_back({field.path, field.expected + " (the field is missing)"});
            continue;
        }
        for (settings_error &error : field.read(*value))
            errors.push_back({joinPaths(field.path, error.path), std::move(error.expected)});
    }
    return errors;
}

error_list internal::readList(const json &list,
                              const std::function<error_list(const json &)> &readElement)
{
    if (!list.is_array())
        return {{"", "a list of objects"}};
    error_list errors;
    std::size_t index = 0;
    for (const json &element : list) {
        const std::string elementPath = '[' + std::to_string(index++) + ']';
        for (settings_error &error : readElement(element))
            errors.push_back({joinPaths(elementPath, error.path), std::move(error.expected)});
    }
    return errors;
}

error_list readSettings(std::string_view text, std::span<const settings_field> fields)
{
    duplicate_names duplicates;
    json parsed;
    try {
        parsed = json::parse(text.begin(), text.end(), std::ref(duplicates), true, true);
    } catch (const json::exception &error) {
        return {{"", std::string("JSON with comments: ") + error.what()}};
    }
    error_list errors = readObject(parsed, fields);
    errors.insert(errors.end(), duplicates.errors().begin(), duplicates.errors().end());
    return errors;
}

error_list readSettingsFile(const std::string &fileName, std::span<const settings_field> fields)
{
    std::ifstream file(fileName, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return {{"", "a readable, non-empty file: " + fileName}};
    return readSettings(text.view(), fields);
}

std::string toString(const settings_error &error)
{
    return (error.path.empty() ? std::string("settings") : error.path) + ": expected "
           + error.expected;
}

} // namespace tamarackridge
