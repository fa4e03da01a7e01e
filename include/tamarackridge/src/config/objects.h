#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief A customer with its rate and burst, summed over all VMs.
struct customer
{
    std::string name;
    std::uint32_t rate = 0; ///< Requests per second.
    std::uint32_t burst = 0; ///< Requests.

    friend bool operator==(const customer &, const customer &) = default;
};

using key_salt = std::array<std::uint8_t, 16>;
using key_hmac = std::array<std::uint8_t, 32>;

/// \brief What the configuration knows of an API key; the secret itself is never stored.
struct api_key
{
    std::string name; ///< Public id, the part of the key before the dot.
    std::string customer;
    key_salt salt{};
    key_hmac hmac{}; ///< HMAC-SHA-256 of the secret under the salt.

    friend bool operator==(const api_key &, const api_key &) = default;
};

/// \brief A service, offered by backend servers.
struct service
{
    std::string name;

    friend bool operator==(const service &, const service &) = default;
};

/// \brief A priority; a higher rank is more important.
struct priority
{
    std::string name;
    std::uint8_t rank = 0;

    friend bool operator==(const priority &, const priority &) = default;
};

/// \brief Requests below a path prefix and how they are treated.
struct route
{
    std::string name;
    std::string pathPrefix; ///< For example `/invoices`; matches at path-segment borders.
    std::vector<std::string> methods; ///< Sorted.
    std::string service;
    std::string priority;
    bool open = false; ///< Needs no key.
    bool idempotent = false;
    std::chrono::milliseconds deadline{};
    std::uint32_t attempts = 1; ///< Backend runs of one request over its whole call chain.

    friend bool operator==(const route &, const route &) = default;
};

/// \brief An availability zone.
struct zone
{
    std::string name;
    std::uint32_t quotaSlots = 4; ///< Shares of every customer's rate that the zone may mint.

    friend bool operator==(const zone &, const zone &) = default;
};

/// \brief Settings of the whole fleet.
struct fleet_settings
{
    /// Keyed routes are refused when the configuration is unconfirmed for longer.
    std::chrono::seconds maxUnconfirmed{3600};

    friend bool operator==(const fleet_settings &, const fleet_settings &) = default;
};

/// \brief All objects of a configuration, not yet validated.
struct config_objects
{
    fleet_settings settings;
    std::vector<zone> zones;
    std::vector<priority> priorities;
    std::vector<service> services;
    std::vector<customer> customers;
    std::vector<api_key> keys;
    std::vector<route> routes;

    friend bool operator==(const config_objects &, const config_objects &) = default;
};

} // namespace tamarackridge
