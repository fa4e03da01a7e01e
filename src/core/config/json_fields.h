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

/// \brief Parses JSON; names repeated within one object are faults, since one would hide the other.
/// \returns the value, or std::nullopt after adding to \a faults.
std::optional<json> parseJson(std::string_view text, bool allowComments, config_errors &errors);

/// \returns \a bytes as lower-case hexadecimal digits.
std::string toHex(std::span<const std::uint8_t> bytes);
/// \brief Fills \a bytes from exactly as many hexadecimal digits. \returns false on other text.
bool fromHex(std::string_view text, std::span<std::uint8_t> bytes);

/// \brief Reads the fields of one JSON object and reports missing, mistyped and unknown ones.
class object_reader
{
public:
    object_reader(const json &value, std::string label, config_errors &errors);

    /// \returns the field, or nullptr; a missing required field is a fault.
    const json *field(std::string_view name, bool required);
    std::optional<std::int64_t> integer(std::string_view name, std::int64_t lowest,
                                        std::int64_t highest, bool required);
    std::optional<std::string> text(std::string_view name, bool required);
    std::optional<bool> flag(std::string_view name, bool required);
    std::optional<std::vector<std::string>> texts(std::string_view name, bool required);
    /// \brief Reports all fields that were not asked for.
    void finish();
    void addError(std::string_view field, std::string message);

private:
    const json *m_value;
    std::string m_label;
    config_errors *m_errors;
    std::vector<std::string_view> m_known;
};

} // namespace tamarackridge::internal
