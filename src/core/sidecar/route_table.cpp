#include "tamarackridge/src/sidecar/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace tamarackridge {
namespace {

std::string normalizedHost(std::string_view host)
{
    host = host.substr(0, host.find(':'));
    std::string result(host);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return result;
}

} // namespace

route_table::route_table(published_set set)
    : m_set(std::move(set))
{
    for (std::size_t index = 0; index < m_set.routes.size(); ++index) {
        const published_route &route = m_set.routes[index];
        m_routes[normalizedHost(route.host)][route.pathPrefix] = index;
        m_credits.emplace_back(route.targets.size(), 0);
    }
    for (std::size_t index = 0; index < m_set.customers.size(); ++index) {
        for (const std::string &key : m_set.customers[index].keys)
            m_customers[key] = index;
    }
}

const published_route *route_table::route(std::string_view host, std::string_view target) const
{
    const auto prefixes = m_routes.find(normalizedHost(host));
    if (prefixes == m_routes.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find('?'));
    while (true) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return &m_set.routes[found->second];
        path = path.substr(0, slash);
    }
}

const published_customer *route_table::customer(std::string_view key) const
{
    const auto found = m_customers.find(key);
    return found == m_customers.end() ? nullptr : &m_set.customers[found->second];
}

const std::string &route_table::nextService(const published_route &route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    const std::size_t index = static_cast<std::size_t>(&route - m_set.routes.data());
    std::vector<std::int64_t> &credits = m_credits[index];
    // Smooth weighted round robin: with each request, every service gains credit by its weight, and
    // the selected service with the highest credit is charged the sum of the weights.
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t part = 0; part < route.targets.size(); ++part) {
        credits[part] += route.targets[part].weight;
        total += route.targets[part].weight;
        if (credits[part] > credits[best])
            best = part;
    }
    credits[best] -= total;
    return route.targets[best].service;
}

} // namespace tamarackridge
