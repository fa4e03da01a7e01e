#pragma once

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief One error in a settings file.
struct settings_error
{
    std::string path; ///< For example `peers.seeds[2].endpoint`; empty for the entire file.
    std::string expected; ///< Description of a valid value.

    friend bool operator==(const settings_error &, const settings_error &) = default;
};

enum class field_presence : std::uint8_t { required, optional };

/// \brief One field of a settings file: its path, its valid values and how it is stored.
struct settings_field
{
    std::string path; ///< Names separated by dots, for example `peers.port`.
    std::string expected; ///< Description of a valid value, for error messages.
    field_presence presence = field_presence::required;
    /// Stores a valid value and returns an empty list. Otherwise returns the errors, with paths
    /// relative to this field.
    std::function<std::vector<settings_error>(const nlohmann::json &)> read;
};

settings_field stringField(std::string path, std::string &target,
                           field_presence presence = field_presence::required);
settings_field boolField(std::string path, bool &target,
                         field_presence presence = field_presence::optional);
/// \param minValue, maxValue inclusive bounds of the value.
settings_field integerField(std::string path, std::int64_t &target, std::int64_t minValue,
                            std::int64_t maxValue,
                            field_presence presence = field_presence::optional);
settings_field portField(std::string path, std::uint16_t &target,
                         field_presence presence = field_presence::required);
settings_field choiceField(std::string path, std::string &target, std::vector<std::string> choices,
                           field_presence presence = field_presence::optional);
settings_field stringListField(std::string path, std::vector<std::string> &target,
                               field_presence presence = field_presence::optional);

/// \brief Checks one object against a table of fields and stores the valid values.
/// \returns all errors; a field that is not in the table is an error as well.
std::vector<settings_error> readObject(const nlohmann::json &object,
                                       std::span<const settings_field> fields);

namespace internal {
std::vector<settings_error>
readList(const nlohmann::json &list,
         const std::function<std::vector<settings_error>(const nlohmann::json &)> &readElement);
} // namespace internal

/// \brief A field whose value is a list of objects.
/// \param fieldsOf returns the table of fields for one element.
template <class Element>
settings_field listField(std::string path, std::vector<Element> &target,
                         std::vector<settings_field> (*fieldsOf)(Element &))
{
    return {std::move(path), "a list of objects", field_presence::optional,
            [&target, fieldsOf](const nlohmann::json &list) {
                return internal::readList(list, [&](const nlohmann::json &object) {
                    return readObject(object, fieldsOf(target.emplace_back()));
                });
            }};
}

/// \brief Reads settings from JSON with comments.
/// \returns all errors in the text; empty when the text is valid.
///
/// \code
/// std::string name;
/// const std::vector<settings_field> fields = {stringField("node.name", name)};
/// const std::vector<settings_error> errors = readSettings(text, fields);
/// \endcode
std::vector<settings_error> readSettings(std::string_view text,
                                         std::span<const settings_field> fields);

/// \brief Reads a file and passes its content to readSettings().
std::vector<settings_error> readSettingsFile(const std::string &fileName,
                                             std::span<const settings_field> fields);

/// \returns one line such as `peers.port: expected an integer from 1 to 65535`.
std::string toString(const settings_error &error);

} // namespace tamarackridge
