#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Appends \a text as a JSON string; bytes that are not valid UTF-8 become U+FFFD.
void appendJsonString(std::string_view text, std::string &out);

/// \brief Builds one JSON object on one line.
///
/// \code
/// const std::string line = json_line().add("level", "info").add("port", 7100).finish();
/// \endcode
class json_line
{
public:
    json_line &add(std::string_view name, std::string_view value);
    json_line &add(std::string_view name, const char *value)
    {
        return add(name, std::string_view(value));
    }
    json_line &add(std::string_view name, bool value)
    {
        return addRaw(name, value ? "true" : "false");
    }
    template <std::integral Integer>
    json_line &add(std::string_view name, Integer value)
    {
        return addRaw(name, std::to_string(value));
    }
    /// \param json a value that is already encoded as JSON.
    json_line &addRaw(std::string_view name, std::string_view json);
    /// \returns the complete object, without a line break.
    std::string finish();

private:
    std::string m_text = "{";
};

} // namespace tamarackridge
