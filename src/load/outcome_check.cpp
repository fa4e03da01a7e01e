#include "load/outcome_check.h"

#include <limits>
#include <sstream>

namespace tamarackridge::load {
namespace {

constexpr double unbounded = std::numeric_limits<double>::max();

outcome_bound readBound(field_reader reader)
{
    outcome_bound bound;
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

bound_verdict checkBound(const outcome_bound &bound, const result_json &report)
{
    const result_json::json_pointer pointer(bound.value);
    const result_json value = report.contains(pointer) ? report[pointer] : result_json(nullptr);
    bound_verdict verdict;
    verdict.held = value.is_number() && value.get<double>() >= bound.atLeast
                   && value.get<double>() <= bound.atMost;
    std::ostringstream line;
    line << (verdict.held ? "held    " : "FAILED  ") << bound.value << " = " << value.dump();
    if (bound.atLeast > -unbounded)
        line << ", at least " << bound.atLeast;
    if (bound.atMost < unbounded)
        line << ", at most " << bound.atMost;
    verdict.line = line.str();
    return verdict;
}

} // namespace

std::vector<outcome_bound> parseBounds(std::string_view text, error_list &errors)
{
    std::vector<outcome_bound> bounds;
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

std::vector<bound_verdict> checkBounds(const std::vector<outcome_bound> &bounds,
                                       const result_json &report)
{
    std::vector<bound_verdict> verdicts;
    verdicts.reserve(bounds.size());
    for (const outcome_bound &bound : bounds)
        verdicts.push_back(checkBound(bound, report));
    return verdicts;
}

} // namespace tamarackridge::load
