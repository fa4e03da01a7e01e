#pragma once

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::load {

/// \brief One line per fault: the path of the field and what was expected.
using error_list = std::vector<std::string>;

/// \brief Permitted values of a number.
struct number_range
{
    double least = 0.0;
    double most = std::numeric_limits<double>::max();
};

/// \brief Reads the fields of one JSON object and lists every fault instead of stopping at the
/// first.
class field_reader
{
public:
    /// \param value expected to be an object; anything else is a fault.
    /// \param path path of \a value in the file, for the faults.
    field_reader(const nlohmann::json &value, std::string path, error_list &errors);

    /// \param fallback used when the field is absent; without one the field is required.
    double number(const char *name, number_range range, std::optional<double> fallback = {});
    std::string text(const char *name, const std::optional<std::string> &fallback = {});
    bool boolean(const char *name, bool fallback);
    /// \returns the elements of a list, or none.
    const std::vector<nlohmann::json> &list(const char *name, bool required = true);
    /// \returns the field, or nullptr when it is absent.
    const nlohmann::json *field(const char *name);

    /// \returns the path of field \a name.
    std::string pathOf(std::string_view name) const;
    /// \brief Adds a fault of field \a name.
    void addError(std::string_view name, std::string_view expected);
    /// \brief Adds a fault for every field that was never asked for.
    void rejectUnknown();

private:
    const nlohmann::json *required(const char *name, bool hasFallback);

    const nlohmann::json &m_value;
    std::string m_path;
    error_list &m_errors;
    std::set<std::string, std::less<>> m_known;
};

/// \brief Parses JSON with comments.
/// \returns the value; null, with a fault, when \a text is not JSON.
nlohmann::json parseCommentedJson(std::string_view text, error_list &errors);

} // namespace tamarackridge::load
