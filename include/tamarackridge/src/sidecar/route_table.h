#pragma once

#include "tamarackridge/src/sidecar/published_set.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackridge {

/// \brief Finds routes by host and longest path prefix, and customers by API key.
///
/// \code
/// route_table table(set);
/// const published_route *route = table.route("shop.example:80", "/orders/7?full=1");
/// const published_customer *customer = table.customer(key);
/// \endcode
class route_table
{
public:
    explicit route_table(published_set set);

    const published_set &set() const { return m_set; }
    /// \returns the route with the longest prefix of the path of \a target, or nullptr.
    const published_route *route(std::string_view host, std::string_view target) const;
    /// \returns the customer to which \a key belongs, or nullptr.
    const published_customer *customer(std::string_view key) const;
    /// \brief Distributes the requests of a route over its services by weight, interleaved rather
    /// than in runs.
    /// \returns the service for the next request.
    const std::string &nextService(const published_route &route);

private:
    struct text_hash : std::hash<std::string_view>
    {
        using is_transparent = void;
    };
    template <typename Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    published_set m_set;
    text_map<text_map<std::size_t>> m_routes; ///< By host, then by prefix.
    text_map<std::size_t> m_customers; ///< By key.
    std::vector<std::vector<std::int64_t>> m_credits; ///< By route and service.
};

} // namespace tamarackridge
