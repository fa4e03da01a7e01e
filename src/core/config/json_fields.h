#pragma once

#include "tamarackridge/src/config/config_error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::internal {

using json = nlohmann::json;

/// \brief Parses JSON. A name that occurs twice in one object is an error, since one value would
/// hide the other.
/// \returns the value, or std::nullopt if the text is not valid JSON; errors are appended to the
/// list.
std::optional<json> parseJson(std::string_view text, bool allowComments, config_errors &errors);

/// \returns \a bytes as lower-case hexadecimal digits.
std::string toHex(std::span<const std::uint8_t> bytes);
/// \brief Fills \a bytes from hexadecimal digits.
/// \returns false if \a text does not consist of exactly two digits per byte.
bool fromHex(std::string_view text, std::span<std::uint8_t> bytes);

/// \brief Reads the fields of one JSON object and reports missing, mistyped and unknown ones.
class object_reader
{
public:
    object_reader(const json &value, std::string label, config_errors &errors);

    /// \returns the field, or nullptr; reports an error if a required field is missing.
    const json *field(std::string_view name, bool required);
    std::optional<std::int64_t> integer(std::string_view name, std::int64_t minValue,
                                        std::int64_t maxValue, bool required);
    std::optional<std::string> text(std::string_view name, bool required);
    std::optional<bool> flag(std::string_view name, bool required);
    std::optional<std::vector<std::string>> texts(std::string_view name, bool required);
    /// \brief Reports an error for each field of the object that was not read.
    void reportUnknownFields();
    void addError(std::string_view field, std::string message);

private:
    const json *m_value;
    std::string m_label;
    config_errors *m_errors;
    std::vector<std::string_view> m_readFields;
};

} // namespace tamarackridge::internal
