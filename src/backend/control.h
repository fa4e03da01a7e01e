#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::backend {

/// \brief Changes requested by `POST /control`; absent fields stay unchanged.
struct control_change
{
    std::optional<double> medianMs;
    std::optional<double> sigma;
    std::optional<double> loadFactor;
    std::optional<bool> frozen;
};

/// \brief Parses a change of the settings.
/// \param body JSON object with any of `median_ms`, `sigma`, `load_factor` and `frozen`.
/// \param errors receives one line per invalid field.
control_change parseControl(std::string_view body, std::vector<std::string> &errors);

} // namespace tamarackridge::backend
