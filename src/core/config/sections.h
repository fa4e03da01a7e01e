#pragma once

#include "tamarackridge/src/config/objects.h"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace tamarackridge::internal {

/// \brief Describes one kind of object: its section in the JSON text, and its fields.
///
/// describe() calls one member of \a Visitor per field. Reading, writing and validation are
/// implemented as visitors.
template <typename Object>
struct section;

template <>
struct section<zone>
{
    static constexpr std::string_view name = "zones";
    static constexpr auto list = &config_objects::zones;
    template <typename Visitor>
    static void describe(Visitor &visitor)
    {
        // Every slot holder appends one record per lease; more slots would not distribute the rate
        // any better.
        visitor.integer("quota_slots", &zone::quotaSlots, 1, 64, false);
    }
};

template <>
struct section<priority>
{
    static constexpr std::string_view name = "priorities";
    static constexpr auto list = &config_objects::priorities;
    template <typename Visitor>
    static void describe(Visitor &visitor)
    {
        visitor.integer("rank", &priority::rank, 0, 255, true);
    }
};

template <>
struct section<service>
{
    static constexpr std::string_view name = "services";
    static constexpr auto list = &config_objects::services;
    template <typename Visitor>
    static void describe(Visitor &)
    { }
};

template <>
struct section<customer>
{
    static constexpr std::string_view name = "customers";
    static constexpr auto list = &config_objects::customers;
    template <typename Visitor>
    static void describe(Visitor &visitor)
    {
        // With these bounds, the rate in micro-tokens times a lease of several hours fits into 63
        // bits.
        visitor.integer("rate", &customer::rate, 1, 10'000'000, true);
        visitor.integer("burst", &customer::burst, 1, 100'000'000, true);
    }
};

template <>
struct section<api_key>
{
    static constexpr std::string_view name = "keys";
    static constexpr auto list = &config_objects::keys;
    template <typename Visitor>
    static void describe(Visitor &visitor)
    {
        visitor.reference("customer", &api_key::customer, &config_objects::customers);
        visitor.bytes("salt", &api_key::salt);
        visitor.bytes("hmac", &api_key::hmac);
    }
};

template <>
struct section<route>
{
    static constexpr std::string_view name = "routes";
    static constexpr auto list = &config_objects::routes;
    template <typename Visitor>
    static void describe(Visitor &visitor)
    {
        visitor.text("path_prefix", &route::pathPrefix);
        visitor.texts("methods", &route::methods);
        visitor.reference("service", &route::service, &config_objects::services);
        visitor.reference("priority", &route::priority, &config_objects::priorities);
        visitor.flag("open", &route::open, false);
        // Required, since a wrong default could create an invoice twice.
        visitor.flag("idempotent", &route::idempotent, true);
        // Request ids expire after 10 min; a deadline of at most half of that leaves time for a
        // resend.
        visitor.integer("deadline_ms", &route::deadline, 1, 300'000, true);
        visitor.integer("attempts", &route::attempts, 1, 1'000, true);
    }
};

/// \brief Describes the fields of `settings`.
template <typename Visitor>
void describeSettings(Visitor &visitor)
{
    visitor.integer("max_unconfirmed_s", &fleet_settings::maxUnconfirmed, 10, 86'400, false);
}

/// \brief Calls `action.template operator()<Object>()` for each kind of object.
template <typename Action>
void forEachSection(Action action)
{
    action.template operator()<zone>();
    action.template operator()<priority>();
    action.template operator()<service>();
    action.template operator()<customer>();
    action.template operator()<api_key>();
    action.template operator()<route>();
}

/// \returns the list of the objects of one kind in \a objects.
template <typename Object, typename Objects>
auto &listOf(Objects &objects)
{
    return objects.*section<Object>::list;
}

/// \brief Converts the value of a field to the integer in the JSON text.
template <typename Number>
std::int64_t toInteger(const Number &value)
{
    if constexpr (requires { value.count(); })
        return value.count();
    else
        return static_cast<std::int64_t>(value);
}

inline constexpr auto byName = [](const auto &left, const auto &right) {
    return left.name < right.name;
};

/// \returns the object called \a name in a list sorted by name, or nullptr.
template <typename List>
const typename List::value_type *findByName(const List &list, std::string_view name)
{
    const auto found = std::lower_bound(
            list.begin(), list.end(), name,
            [](const auto &object, std::string_view wanted) { return object.name < wanted; });
    return found != list.end() && found->name == name ? &*found : nullptr;
}

} // namespace tamarackridge::internal
