#include "backend/control.h"

#include <nlohmann/json.hpp>

namespace tamarackridge::backend {
namespace {

void readNumber(const nlohmann::json &value, const std::string &name, std::optional<double> &target,
                std::vector<std::string> &errors)
{
    if (value.is_number() && value.get<double>() >= 0.0)
        target = value.get<double>();
    else
        errors.push_back(name + ": expected a number of at least 0");
}

} // namespace

control_change parseControl(std::string_view body, std::vector<std::string> &errors)
{
    control_change change;
    const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        errors.emplace_back("body: expected a JSON object");
        return change;
    }
    for (const auto &[name, value] : parsed.items()) {
        if (name == "median_ms")
            readNumber(value, name, change.medianMs, errors);
        else if (name == "sigma")
            readNumber(value, name, change.sigma, errors);
        else if (name == "load_factor")
            readNumber(value, name, change.loadFactor, errors);
        else if (name != "frozen")
            errors.push_back(name + ": unknown field");
        else if (value.is_boolean())
            change.frozen = value.get<bool>();
        else
            errors.push_back(name + ": expected true or false");
    }
    return change;
}

} // namespace tamarackridge::backend
