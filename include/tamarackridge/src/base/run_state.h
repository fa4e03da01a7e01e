#pragma once

#include <cstdint>
#include <string_view>

namespace tamarackridge {

/// \brief What is known about the execution of a request, over all of its attempts.
enum class run_state : std::uint8_t {
    not_run, ///< No backend server has received any part of the request.
    ran, ///< A backend server executed the request and responded.
    unknown, ///< A backend server may have executed the request; its response is not known.
};

/// \returns the value of the `Tamarackridge-Run-State` header: `not-run`, `ran` or `unknown`.
std::string_view toString(run_state state);

} // namespace tamarackridge
