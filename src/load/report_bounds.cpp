#include "load/report_bounds.h"

#include <limits>
#include <sstream>

namespace tamarackridge::load {
namespace {

constexpr double unbounded = std::numeric_limits<double>::max();

report_bound readBound(field_reader reader)
{
    report_bound bound;
    bound.value = reader.text("value");
    if (bound.value.empty() || bound.value.front() != '/')
        reader.addError("value", "a JSON pointer that starts with /");
    if (reader.field("at_least") == nullptr && reader.field("at_most") == nullptr)
        reader.addError("at_least", "at_least, at_most or both");
    bound.atLeast = reader.number("at_least", {-unbounded, unbounded}, -unbounded);
    bound.atMost = reader.number("at_most", {-unbounded, unbounded}, unbounded);
    reader.rejectUnknown();
    return bound;
}

bound_result checkBound(const report_bound &bound, const report_json &report)
{
    const report_json::json_pointer pointer(bound.value);
    const report_json value = report.contains(pointer) ? report[pointer] : report_json(nullptr);
    bound_result result;
    result.held = value.is_number() && value.get<double>() >= bound.atLeast
                  && value.get<double>() <= bound.atMost;
    std::ostringstream line;
    line << (result.held ? "held    " : "FAILED  ") << bound.value << " = " << value.dump();
    if (bound.atLeast > -unbounded)
        line << ", at least " << bound.atLeast;
    if (bound.atMost < unbounded)
        line << ", at most " << bound.atMost;
    result.line = line.str();
    return result;
}

} // namespace

std::vector<report_bound> parseBounds(std::string_view text, error_list &errors)
{
    std::vector<report_bound> bounds;
    const nlohmann::json value = parseCommentedJson(text, errors);
    if (!errors.empty())
        return bounds;
    field_reader reader(value, "", errors);
    for (const nlohmann::json &bound : reader.list("checks"))
        bounds.push_back(
                readBound({bound, "checks[" + std::to_string(bounds.size()) + "]", errors}));
    reader.rejectUnknown();
    return bounds;
}

std::vector<bound_result> checkBounds(const std::vector<report_bound> &bounds,
                                      const report_json &report)
{
    std::vector<bound_result> results;
    results.reserve(bounds.size());
    for (const report_bound &bound : bounds)
        results.push_back(checkBound(bound, report));
    return results;
}

} // namespace tamarackridge::load
