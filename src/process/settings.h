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

/// \brief One fault of a settings file.
struct settings_error
{
    std::string path; ///< For example `peers.seeds[2].endpoint`; empty for the file as a whole.
    std::string expected;

    friend bool operator==(const settings_error &, const settings_error &) = default;
};

enum class field_need : std::uint8_t { required, optional };

/// \brief One field of a settings file: where it stands, what it may be and where it goes.
struct settings_field
{
    std::string path; ///< Names joined by dots, for example `peers.port`.
    std::string expected; ///< What a correct value is, for the message of a fault.
    field_need need = field_need::required;
    /// Stores a correct value and returns nothing; otherwise returns the faults, their paths
    /// relative to this field.
    std::function<std::vector<settings_error>(const nlohmann::json &)> take;
};

settings_field textField(std::string path, std::string &target,
                         field_need need = field_need::required);
settings_field flagField(std::string path, bool &target, field_need need = field_need::optional);
/// \param smallest, largest bounds of the value, both included.
settings_field integerField(std::string path, std::int64_t &target, std::int64_t smallest,
                            std::int64_t largest, field_need need = field_need::optional);
settings_field portField(std::string path, std::uint16_t &target,
                         field_need need = field_need::required);
settings_field choiceField(std::string path, std::string &target, std::vector<std::string> choices,
                           field_need need = field_need::optional);
settings_field textListField(std::string path, std::vector<std::string> &target,
                             field_need need = field_need::optional);

/// \brief Checks and stores one object against a table of fields.
/// \returns all faults; unknown fields are faults as well.
std::vector<settings_error> takeObject(const nlohmann::json &object,
                                       std::span<const settings_field> fields);

namespace internal {
std::vector<settings_error>
takeEach(const nlohmann::json &list,
         const std::function<std::vector<settings_error>(const nlohmann::json &)> &takeElement);
} // namespace internal

/// \brief A list of objects.
/// \param fieldsOf returns the table of fields of one element.
template <class Element>
settings_field listField(std::string path, std::vector<Element> &target,
                         std::vector<settings_field> (*fieldsOf)(Element &))
{
    return {std::move(path), "a list of objects", field_need::optional,
            [&target, fieldsOf](const nlohmann::json &list) {
                return internal::takeEach(list, [&](const nlohmann::json &object) {
                    return takeObject(object, fieldsOf(target.emplace_back()));
                });
            }};
}

/// \brief Reads settings from JSON with comments.
/// \returns all faults of the text, or nothing when it is correct.
///
/// \code
/// std::string name;
/// const std::vector<settings_field> fields = {textField("node.name", name)};
/// const std::vector<settings_error> faults = readSettings(text, fields);
/// \endcode
std::vector<settings_error> readSettings(std::string_view text,
                                         std::span<const settings_field> fields);

/// \brief Reads a whole file and passes it to readSettings().
std::vector<settings_error> readSettingsFile(const std::string &fileName,
                                             std::span<const settings_field> fields);

/// \returns one line: path, colon and what was expected.
std::string toString(const settings_error &error);

} // namespace tamarackridge
