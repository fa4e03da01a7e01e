#pragma once

#include <compare>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief An error in a configuration set or delta.
struct config_error
{
    std::string object; ///< Section and name, for example `routes/post-invoice`.
    std::string field; ///< Empty when the error concerns the object as a whole.
    std::string message; ///< What was expected.

    friend auto operator<=>(const config_error &, const config_error &) = default;
};

/// \brief All errors that were found, sorted by object and field.
using config_errors = std::vector<config_error>;

/// \returns one line, for example `routes/post-invoice.service: no service is called 'invoices'`.
std::string toString(const config_error &error);

} // namespace tamarackridge
