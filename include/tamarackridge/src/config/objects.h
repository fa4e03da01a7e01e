#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief A customer with its rate and burst, which hold for all VMs together.
struct customer
{
    std::string name;
    std::uint32_t rate = 0; ///< Requests per second.
    std::uint32_t burst = 0; ///< Requests.

    friend bool operator==(const customer &, const customer &) = default;
};

using key_salt = std::array<std::uint8_t, 16>;
using key_hmac = std::array<std::uint8_t, 32>;

/// \brief The stored part of an API key; the secret itself is never stored.
struct api_key
{
    std::string name; ///< Public id, the part of the key before the dot.
    std::string customer;
    key_salt salt{};
    key_hmac hmac{}; ///< HMAC-SHA-256 of the secret under the salt.

    friend bool operator==(const api_key &, const api_key &) = default;
};

/// \brief A service that backend servers offer.
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

/// \brief Matches requests by path prefix and method, and says how they are handled.
struct route
{
    std::string name;
    std::string pathPrefix; ///< For example `/invoices`; matches complete path segments only.
    std::vector<std::string> methods; ///< Sorted.
    std::string service;
    std::string priority;
    bool open = false; ///< Requests need no API key.
    bool idempotent = false;
    std::chrono::milliseconds deadline{};
    /// Maximum number of executions of one request over the entire call chain.
    std::uint32_t attempts = 1;

    friend bool operator==(const route &, const route &) = default;
};

/// \brief An availability zone.
struct zone
{
    std::string name;
    /// Number of shares of every customer's rate that nodes of the zone may mint.
    std::uint32_t quotaSlots = 4;

    friend bool operator==(const zone &, const zone &) = default;
};

/// \brief Settings that hold for the whole fleet.
struct fleet_settings
{
    /// Requests on keyed routes are refused when the configuration has been unconfirmed for longer.
    std::chrono::seconds maxUnconfirmed{3600};

    friend bool operator==(const fleet_settings &, const fleet_settings &) = default;
};

/// \brief All objects of a configuration, possibly not validated.
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
