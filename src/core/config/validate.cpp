#include "validate.h"

#include "sections.h"
#include "tamarackridge/src/config/request_path.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace tamarackridge::internal {
namespace {

constexpr std::size_t maxNameBytes = 64;
constexpr std::array<std::string_view, 7> knownMethods = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                          "PATCH",  "POST", "PUT"};
/// Methods that HTTP defines as safe: proxies and clients may resend them at any time.
constexpr std::array<std::string_view, 3> safeMethods = {"GET", "HEAD", "OPTIONS"};
constexpr std::string_view reservedPaths = "/.tamarackridge";

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size> &list, std::string_view value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

/// Names occur in headers, log lines and paths, so only characters that need no escaping are
/// allowed.
bool isName(std::string_view name, bool allowDot)
{
    const auto allowed = [allowDot](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || (allowDot && c == '.');
    };
    return !name.empty() && name.size() <= maxNameBytes && name.front() != '.'
           && name.front() != '-' && std::all_of(name.begin(), name.end(), allowed);
}

/// \brief Validates the fields of one object by its description.
template <typename Object>
class field_validator
{
public:
    field_validator(const Object &object, const config_objects &all, std::string label,
                    config_errors &errors)
        : m_object(object)
        , m_all(all)
        , m_label(std::move(label))
        , m_errors(errors)
    { }

    template <typename Number>
    void integer(std::string_view name, Number Object::*member, std::int64_t minValue,
                 std::int64_t maxValue, bool)
    {
        const std::int64_t value = toInteger(m_object.*member);
        if (value < minValue || value > maxValue)
            addError(name, "expected a whole number from " + std::to_string(minValue) + " to "
                                   + std::to_string(maxValue));
    }
    template <typename Target>
    void reference(std::string_view name, std::string Object::*member,
                   std::vector<Target> config_objects::*list)
    {
        if (findByName(m_all.*list, m_object.*member) == nullptr)
            addError(name, "'" + m_object.*member + "' is not in '"
                                   + std::string(section<Target>::name) + "'");
    }
    template <typename Bytes>
    void bytes(std::string_view, Bytes Object::*)
    { }
    void text(std::string_view, std::string Object::*) { }
    void texts(std::string_view, std::vector<std::string> Object::*) { }
    void flag(std::string_view, bool Object::*, bool) { }

    void addError(std::string_view field, std::string message)
    {
        m_errors.push_back({m_label, std::string(field), std::move(message)});
    }

private:
    const Object &m_object;
    const config_objects &m_all;
    std::string m_label;
    config_errors &m_errors;
};

template <typename Object>
std::string labelOf(const Object &object)
{
    return std::string(section<Object>::name) + "/" + object.name;
}

template <typename Object>
void validateSection(const config_objects &objects, config_errors &errors)
{
    const std::vector<Object> &list = listOf<Object>(objects);
    constexpr bool allowDot = !std::is_same_v<Object, api_key>;
    for (std::size_t index = 0; index < list.size(); ++index) {
        field_validator<Object> fields(list[index], objects, labelOf(list[index]), errors);
        if (!isName(list[index].name, allowDot))
            fields.addError("", "expected a name of 1 to 64 letters, digits, '-' and '_' (and '.', "
                                "except in key ids) that starts with a letter, digit or '_'");
        if (index > 0 && list[index - 1].name == list[index].name)
            fields.addError("", "the name occurs twice");
        section<Object>::describe(fields);
    }
}

void validateMethods(const route &object, const std::string &label, config_errors &errors)
{
    if (object.methods.empty())
        errors.push_back({label, "methods", "expected at least one method"});
    for (const std::string &method : object.methods) {
        if (!contains(knownMethods, method))
            errors.push_back({label, "methods", "'" + method + "' is not a supported method"});
        else if (!object.idempotent && contains(safeMethods, method))
            errors.push_back({label, "methods",
                              method
                                      + " is sent again by clients and proxies and needs an "
                                        "idempotent route"});
    }
    if (std::adjacent_find(object.methods.begin(), object.methods.end()) != object.methods.end())
        errors.push_back({label, "methods", "a method occurs twice"});
}

void validateRoute(const route &object, config_errors &errors)
{
    const std::string label = labelOf(object);
    validateMethods(object, label, errors);
    if (!isPathPrefix(object.pathPrefix))
        errors.push_back({label, "path_prefix",
                          "expected '/', or segments of letters, digits, '-', '_', '~' and '.' "
                          "such as '/invoices/drafts', without a final '/'"});
    if (object.pathPrefix == reservedPaths
        || object.pathPrefix.starts_with(std::string(reservedPaths) + "/"))
        errors.push_back({label, "path_prefix", "'/.tamarackridge' is reserved for the nodes"});
    // Otherwise anyone could fill the ledger, which keeps each response for 10 min.
    if (object.open && !object.idempotent)
        errors.push_back({label, "open", "an open route must be idempotent"});
}

void validateRoutes(const std::vector<route> &routes, config_errors &errors)
{
    std::map<std::pair<std::string_view, std::string_view>, std::string_view> owners;
    for (const route &object : routes) {
        validateRoute(object, errors);
        for (const std::string &method : object.methods) {
            const auto [owner, added] =
                    owners.try_emplace({object.pathPrefix, method}, object.name);
            if (!added && owner->second != object.name)
                errors.push_back({labelOf(object), "path_prefix",
                                  method + " " + object.pathPrefix + " already belongs to route '"
                                          + std::string(owner->second) + "'"});
        }
    }
}

void validateRanks(const std::vector<priority> &priorities, config_errors &errors)
{
    std::map<std::uint8_t, std::string_view> owners;
    for (const priority &object : priorities) {
        const auto [owner, added] = owners.try_emplace(object.rank, object.name);
        if (!added)
            errors.push_back(
                    {labelOf(object), "rank",
                     "the rank already belongs to priority '" + std::string(owner->second) + "'"});
    }
}

} // namespace

void normalise(config_objects &objects)
{
    forEachSection([&objects]<typename Object>() {
        std::vector<Object> &list = listOf<Object>(objects);
        std::stable_sort(list.begin(), list.end(), byName);
    });
    for (route &object : objects.routes)
        std::sort(object.methods.begin(), object.methods.end());
}

namespace {

/// \returns all errors in normalised objects, in no particular order.
config_errors validate(const config_objects &objects)
{
    config_errors errors;
    forEachSection([&]<typename Object>() { validateSection<Object>(objects, errors); });
    field_validator<fleet_settings> settings(objects.settings, objects, "settings", errors);
    describeSettings(settings);
    validateRoutes(objects.routes, errors);
    validateRanks(objects.priorities, errors);
    if (!objects.customers.empty() && objects.zones.empty())
        errors.push_back({"zones", "",
                          "customers need at least one zone, whose quota slots mint their rates"});
    return errors;
}

} // namespace

config_errors validateAfter(config_errors earlier, const config_objects &objects)
{
    config_errors errors = earlier;
    for (config_error &error : validate(objects)) {
        const bool alreadyReported =
                std::any_of(earlier.begin(), earlier.end(), [&error](const config_error &known) {
                    return known.object == error.object
                           && (known.field == error.field || known.field.empty());
                });
        if (!alreadyReported)
            errors.push_back(std::move(error));
    }
    std::sort(errors.begin(), errors.end());
    errors.erase(std::unique(errors.begin(), errors.end()), errors.end());
    return errors;
}

} // namespace tamarackridge::internal
