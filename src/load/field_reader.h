#pragma once

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::load {

/// \brief One line per error: the path of the field and what was expected.
using error_list = std::vector<std::string>;

/// \brief Permitted values of a number.
struct number_range
{
    double min = 0.0;
    double max = std::numeric_limits<double>::max();
};

/// \brief Reads the fields of one JSON object and collects all errors instead of stopping at the
/// first.
class field_reader
{
public:
    /// \param value must be an object; anything else is an error.
    /// \param path path of \a value in the file, used in errors.
    field_reader(const nlohmann::json &value, std::string path, error_list &errors);

    /// \param fallback value of an absent field; without a fallback the field is required.
    double number(const char *name, number_range range, std::optional<double> fallback = {});
    std::string text(const char *name, const std::optional<std::string> &fallback = {});
    bool boolean(const char *name, bool fallback);
    /// \returns the elements of a list; empty if the field is absent or invalid.
    const std::vector<nlohmann::json> &list(const char *name, bool required = true);
    /// \returns the field, or nullptr if it is absent.
    const nlohmann::json *field(const char *name);

    /// \returns the path of field \a name.
    std::string pathOf(std::string_view name) const;
    /// \brief Adds an error for field \a name.
    void addError(std::string_view name, std::string_view expected);
    /// \brief Adds an error for every field that has not been read.
    void rejectUnknown();

private:
    const nlohmann::json *required(const char *name, bool hasFallback);

    const nlohmann::json &m_value;
    std::string m_path;
    error_list &m_errors;
    std::set<std::string, std::less<>> m_readFields;
};

/// \brief Parses JSON with comments.
/// \returns the value; null if \a text is not JSON, in which case an error is added.
nlohmann::json parseCommentedJson(std::string_view text, error_list &errors);

} // namespace tamarackridge::load
