#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/config/config_error.h"
#include "tamarackridge/src/config/objects.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarackridge {

/// \brief A route together with the objects to which it refers.
struct bound_route
{
    const route *definition = nullptr;
    const service *target = nullptr;
    const priority *rank = nullptr;
};

/// \brief A valid, immutable configuration with indexes for fast lookup per request.
///
/// Pointers returned by the lookups are valid for the lifetime of the set and stay valid when the
/// set is moved.
///
/// \code
/// tl::expected<config_set, config_errors> set = parseConfigSet(text);
/// const bound_route *match = set->findRoute("GET", "/invoices/7").value();
/// \endcode
/// \sa parseConfigSet, config_delta
class config_set
{
public:
    /// \brief Creates the empty set, which is in force before the first publication.
    config_set();
    config_set(const config_set &) = delete;
    config_set &operator=(const config_set &) = delete;
    config_set(config_set &&) noexcept = default;
    config_set &operator=(config_set &&) noexcept = default;
    ~config_set() = default;

    /// \returns the set, or all errors in \a objects.
    static tl::expected<config_set, config_errors> create(config_objects objects);

    /// \brief Finds the route with the longest matching path prefix, without allocating memory.
    /// \param target path with an optional query.
    /// \returns the route, or bad_request, unknown_route or method_not_allowed.
    tl::expected<const bound_route *, error_kind> findRoute(std::string_view method,
                                                            std::string_view target) const;

    const customer *findCustomer(std::string_view name) const;
    const api_key *findKey(std::string_view id) const;
    const service *findService(std::string_view name) const;
    const zone *findZone(std::string_view name) const;
    /// \returns the route called \a name with its objects, or nullptr.
    const bound_route *routeByName(std::string_view name) const;
    /// \returns the customer of \a key, which must be an element of this set.
    const customer &customerOf(const api_key &key) const;

    /// \returns all objects, each kind sorted by name.
    const config_objects &objects() const { return m_objects; }
    const fleet_settings &settings() const { return m_objects.settings; }
    /// \returns the total number of quota slots of all zones.
    std::uint32_t quotaSlots() const;

private:
    struct path_node
    {
        std::vector<std::pair<std::string_view, std::uint32_t>> children; ///< Sorted by segment.
        std::vector<std::pair<std::string_view, const bound_route *>> methods;
    };

    explicit config_set(config_objects objects);
    void indexRoutes();
    std::uint32_t findOrAddChild(std::uint32_t node, std::string_view segment);

    config_objects m_objects;
    std::vector<bound_route> m_routes; ///< In the order of m_objects.routes.
    std::vector<path_node> m_paths; ///< m_paths[0] is the root.
    std::vector<std::uint32_t> m_keyCustomers; ///< Index of each key's customer.
};

} // namespace tamarackridge
