#pragma once

#include "tamarackridge/src/config/config_error.h"
#include "tamarackridge/src/config/config_set.h"
#include "tamarackridge/src/config/objects.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Identifies an object to delete.
struct object_name
{
    std::string section; ///< For example `routes`.
    std::string name;

    friend auto operator<=>(const object_name &, const object_name &) = default;
};

/// \brief The difference between two sets; its size depends only on the size of the change.
///
/// \code
/// config_delta delta = difference(before, after);
/// tl::expected<config_set, config_errors> same = apply(before, delta);
/// \endcode
struct config_delta
{
    std::optional<fleet_settings> settings;
    config_objects upserts; ///< New and replaced objects; the member `settings` is not used.
    std::vector<object_name> deletes; ///< Sorted.

    bool empty() const;
    friend bool operator==(const config_delta &, const config_delta &) = default;
};

/// \returns \a base with \a delta applied, or all errors of the result and of the delta itself.
tl::expected<config_set, config_errors> apply(const config_set &base, const config_delta &delta);

/// \returns the delta that turns \a from into \a to.
config_delta difference(const config_set &from, const config_set &to);

} // namespace tamarackridge
