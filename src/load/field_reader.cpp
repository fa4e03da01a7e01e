#include "load/field_reader.h"

#include <sstream>

namespace tamarackridge::load {
namespace {

std::string describe(number_range range)
{
    std::ostringstream text;
    text << "a number of at least " << range.min;
    if (range.max < std::numeric_limits<double>::max())
        text << " and at most " << range.max;
    return text.str();
}

} // namespace

field_reader::field_reader(const nlohmann::json &value, std::string path, error_list &errors)
    : m_value(value)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!m_value.is_object())
        m_errors.push_back((m_path.empty() ? "file" : m_path) + ": expected an object");
}

double field_reader::number(const char *name, number_range range, std::optional<double> fallback)
{
    const nlohmann::json *value = required(name, fallback.has_value());
    if (value == nullptr)
        return fallback.value_or(range.min);
    if (value->is_number()) {
        const double number = value->get<double>();
        if (number >= range.min && number <= range.max)
            return number;
    }
    addError(name, describe(range));
    return range.min;
}

std::string field_reader::text(const char *name, const std::optional<std::string> &fallback)
{
    const nlohmann::json *value = required(name, fallback.has_value());
    if (value == nullptr)
        return fallback.value_or("");
    if (value->is_string())
        return value->get<std::string>();
    addError(name, "a string");
    return {};
}

bool field_reader::boolean(const char *name, bool fallback)
{
    const nlohmann::json *value = field(name);
    if (value == nullptr)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    addError(name, "true or false");
    return fallback;
}

const std::vector<nlohmann::json> &field_reader::list(const char *name, bool isRequired)
{
    static const std::vector<nlohmann::json> empty;
    const nlohmann::json *value = required(name, !isRequired);
    if (value == nullptr)
        return empty;
    if (value->is_array() && !(isRequired && value->empty()))
        return value->get_ref<const std::vector<nlohmann::json> &>();
    addError(name, isRequired ? "a list with at least one element" : "a list");
    return empty;
}

const nlohmann::json *field_reader::field(const char *name)
{
    m_readFields.insert(name);
    if (!m_value.is_object())
        return nullptr;
    const auto found = m_value.find(name);
    return found == m_value.end() ? nullptr : &*found;
}

std::string field_reader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

void field_reader::addError(std::string_view name, std::string_view expected)
{
    m_errors.push_back(pathOf(name) + ": expected " + std::string(expected));
}

void field_reader::rejectUnknown()
{
    if (!m_value.is_object())
        return;
    for (const auto &[name, value] : m_value.items()) {
        if (!m_readFields.contains(name))
            m_errors.push_back(pathOf(name) + ": unknown field");
    }
}

const nlohmann::json *field_reader::required(const char *name, bool hasFallback)
{
    const nlohmann::json *value = field(name);
    if (value == nullptr && !hasFallback && m_value.is_object())
        addError(name, "this field to be present");
    return value;
}

nlohmann::json parseCommentedJson(std::string_view text, error_list &errors)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        errors.push_back(std::string("file: expected JSON with comments: ") + error.what());
        return {};
    }
}

} // namespace tamarackridge::load
