#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::backend {

/// \brief Changes asked for at `/control`; absent fields stay as they are.
struct control_change
{
    std::optional<double> medianMs;
    std::optional<double> sigma;
    std::optional<double> loadFactor;
    std::optional<bool> frozen;
};

/// \param body JSON object with any of `median_ms`, `sigma`, `load_factor` and `frozen`.
/// \param faults receives one line per fault.
control_change parseControl(std::string_view body, std::vector<std::string> &faults);

} // namespace tamarackridge::backend
