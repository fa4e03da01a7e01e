#include "tamarackridge/src/config/config_set.h"

#include "sections.h"
#include "tamarackridge/src/config/request_path.h"
#include "validate.h"

#include <algorithm>
#include <numeric>

namespace tamarackridge {

std::string toString(const config_error &error)
{
    std::string text = error.object;
    if (!error.field.empty())
        text += text.empty() ? error.field : "." + error.field;
    return text.empty() ? error.message : text + ": " + error.message;
}

config_set::config_set()
    : config_set(config_objects{})
{ }

config_set::config_set(config_objects objects)
    : m_objects(std::move(objects))
{
    indexRoutes();
    m_keyCustomers.reserve(m_objects.keys.size());
    for (const api_key &key : m_objects.keys)
        m_keyCustomers.push_back(static_cast<std::uint32_t>(findCustomer(key.customer)
                                                            - m_objects.customers.data()));
}

tl::expected<config_set, config_errors> config_set::create(config_objects objects)
{
    internal::normalise(objects);
    config_errors errors = internal::validateAfter({}, objects);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return config_set(std::move(objects));
}

void config_set::indexRoutes()
{
    m_paths.resize(1);
    m_routes.reserve(m_objects.routes.size()); // The path index contains pointers to the elements.
    for (const route &object : m_objects.routes) {
        m_routes.push_back({&object, findService(object.service),
                            internal::findByName(m_objects.priorities, object.priority)});
        std::uint32_t node = 0;
        std::string_view rest = std::string_view(object.pathPrefix).substr(1);
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find('/'), rest.size());
            node = findOrAddChild(node, rest.substr(0, end));
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
        for (const std::string &method : object.methods)
            m_paths[node].methods.emplace_back(method, &m_routes.back());
    }
}

std::uint32_t config_set::findOrAddChild(std::uint32_t node, std::string_view segment)
{
    const auto found = std::lower_bound(
            m_paths[node].children.begin(), m_paths[node].children.end(), segment,
            [](const auto &child, std::string_view wanted) { return child.first < wanted; });
    if (found != m_paths[node].children.end() && found->first == segment)
        return found->second;
    const std::uint32_t added = static_cast<std::uint32_t>(m_paths.size());
    m_paths[node].children.insert(found, {segment, added});
    m_paths.emplace_back();
    return added;
}

tl::expected<const bound_route *, error_kind> config_set::findRoute(std::string_view method,
                                                                    std::string_view target) const
{
    const tl::expected<std::string_view, error_kind> path = requestPath(target);
    if (!path)
        return tl::unexpected(path.error());
    const path_node *node = &m_paths.front();
    const path_node *best = node->methods.empty() ? nullptr : node;
    std::string_view rest = path->substr(1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('/'), rest.size());
        const std::string_view segment = rest.substr(0, end);
        const auto child = std::lower_bound(
                node->children.begin(), node->children.end(), segment,
                [](const auto &entry, std::string_view wanted) { return entry.first < wanted; });
        if (child == node->children.end() || child->first != segment)
            break;
        node = &m_paths[child->second];
        best = node->methods.empty() ? best : node;
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    if (best == nullptr)
        return tl::unexpected(error_kind::unknown_route);
    for (const auto &[name, match] : best->methods) {
        if (name == method)
            return match;
    }
    return tl::unexpected(error_kind::method_not_allowed);
}

const customer *config_set::findCustomer(std::string_view name) const
{
    return internal::findByName(m_objects.customers, name);
}

const api_key *config_set::findKey(std::string_view id) const
{
    return internal::findByName(m_objects.keys, id);
}

const service *config_set::findService(std::string_view name) const
{
    return internal::findByName(m_objects.services, name);
}

const zone *config_set::findZone(std::string_view name) const
{
    return internal::findByName(m_objects.zones, name);
}

const bound_route *config_set::routeByName(std::string_view name) const
{
    const route *found = internal::findByName(m_objects.routes, name);
    return found == nullptr ? nullptr : &m_routes[found - m_objects.routes.data()];
}

const customer &config_set::customerOf(const api_key &key) const
{
    return m_objects.customers[m_keyCustomers[&key - m_objects.keys.data()]];
}

std::uint32_t config_set::quotaSlots() const
{
    return std::accumulate(
            m_objects.zones.begin(), m_objects.zones.end(), std::uint32_t{0},
            [](std::uint32_t sum, const zone &object) { return sum + object.quotaSlots; });
}

} // namespace tamarackridge
