#include "json_fields.h"

#include <algorithm>
#include <set>
#include <unordered_set>

namespace tamarackridge::internal {

namespace {

/// \brief Finds names that occur twice in one object, which the JSON library accepts silently.
///
/// Runs as a separate pass: with the library's parser callback, the parser scans an object at the
/// end of each member, which takes quadratic time for a section with thousands of keys.
class repeated_names final : public nlohmann::json_sax<json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override
    {
        m_open.emplace_back();
        return true;
    }
    bool key(string_t &name) override
    {
        if (!m_open.back().insert(name).second)
            m_repeated.insert(name);
        return true;
    }
    bool end_object() override
    {
        m_open.pop_back();
        return true;
    }
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string &, const json::exception &error) override
    {
        m_error = error.what();
        return false;
    }

    const std::set<std::string> &repeated() const { return m_repeated; }
    const std::string &error() const { return m_error; }

private:
    std::vector<std::unordered_set<std::string>> m_open;
    std::set<std::string> m_repeated;
    std::string m_error;
};

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    return -1;
}

} // namespace

std::optional<json> parseJson(std::string_view text, bool allowComments, config_errors &errors)
{
    repeated_names names;
    if (!json::sax_parse(text, &names, json::input_format_t::json, true, allowComments)) {
        errors.push_back({"", "", "not valid JSON: " + names.error()});
        return std::nullopt;
    }
    for (const std::string &name : names.repeated())
        errors.push_back({"", name, "the name occurs twice in one object"});
    return json::parse(text, nullptr, false, allowComments);
}

std::string toHex(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (std::uint8_t byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

bool fromHex(std::string_view text, std::span<std::uint8_t> bytes)
{
    if (text.size() != 2 * bytes.size())
        return false;
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const int high = hexDigit(text[2 * index]);
        const int low = hexDigit(text[2 * index + 1]);
        if (high < 0 || low < 0)
            return false;
        bytes[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return true;
}

object_reader::object_reader(const json &value, std::string label, config_errors &errors)
    : m_value(&value)
    , m_label(std::move(label))
    , m_errors(&errors)
{
    if (!value.is_object())
        addError("", "expected a JSON object");
}

void object_reader::addError(std::string_view field, std::string message)
{
    m_errors->push_back({m_label, std::string(field), std::move(message)});
}

const json *object_reader::field(std::string_view name, bool required)
{
    m_readFields.push_back(name);
    if (!m_value->is_object())
        return nullptr;
    const auto found = m_value->find(name);
    if (found != m_value->end())
        return &*found;
    if (required)
        addError(name, "the field is missing");
    return nullptr;
}

std::optional<std::int64_t> object_reader::integer(std::string_view name, std::int64_t minValue,
                                                   std::int64_t maxValue, bool required)
{
    const json *value = field(name, required);
    if (value == nullptr)
        return std::nullopt;
    // Unsigned numbers above the signed range would wrap around to negative ones.
    const bool wraps = value->is_number_unsigned()
                       && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (value->is_number_integer() && !wraps) {
        const std::int64_t number = value->get<std::int64_t>();
        if (number >= minValue && number <= maxValue)
            return number;
    }
    addError(name, "expected a whole number from " + std::to_string(minValue) + " to "
                           + std::to_string(maxValue));
    return std::nullopt;
}

std::optional<std::string> object_reader::text(std::string_view name, bool required)
{
    const json *value = field(name, required);
    if (value == nullptr)
        return std::nullopt;
    if (value->is_string())
        return value->get<std::string>();
    addError(name, "expected a string");
    return std::nullopt;
}

std::optional<bool> object_reader::flag(std::string_view name, bool required)
{
    const json *value = field(name, required);
    if (value == nullptr)
        return std::nullopt;
    if (value->is_boolean())
        return value->get<bool>();
    addError(name, "expected true or false");
    return std::nullopt;
}

std::optional<std::vector<std::string>> object_reader::texts(std::string_view name, bool required)
{
    const json *value = field(name, required);
    if (value == nullptr)
        return std::nullopt;
    const auto isString = [](const json &element) { return element.is_string(); };
    if (value->is_array() && std::all_of(value->begin(), value->end(), isString))
        return value->get<std::vector<std::string>>();
    addError(name, "expected a list of strings");
    return std::nullopt;
}

void object_reader::reportUnknownFields()
{
    if (!m_value->is_object())
        return;
    for (const auto &[name, value] : m_value->items()) {
        if (std::find(m_readFields.begin(), m_readFields.end(), name) == m_readFields.end())
            addError(name, "unknown field");
    }
}

} // namespace tamarackridge::internal
