#pragma once

#include <compare>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief One fault of a configuration set or delta.
struct config_fault
{
    std::string object; ///< Section and name, for example `routes/post-invoice`.
    std::string field; ///< Empty when the fault concerns the whole object.
    std::string message; ///< What was expected.

    friend auto operator<=>(const config_fault &, const config_fault &) = default;
};

/// \brief All faults that were found, sorted by object and field.
using config_faults = std::vector<config_fault>;

/// \returns one line, for example `routes/post-invoice.service: no service is called 'invoices'`.
std::string toString(const config_fault &fault);

} // namespace tamarackridge
