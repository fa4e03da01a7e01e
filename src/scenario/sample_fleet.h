#pragma once

#include "scenario/virtual_fleet.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::scenario {

/// \brief A configuration for scenarios, with a key for each customer.
struct sample_configuration
{
    std::string text;
    std::map<std::string, std::string> keys; ///< By customer, as sent in the Authorization header.
};

/// \brief A customer of a sample_configuration.
struct sample_customer
{
    std::string name;
    std::uint32_t rate = 1000;
    std::uint32_t burst = 1000;
};

/// \returns a configuration with three services: `movements` (lookups, and `/status` without a
/// key), `invoicing` (lookups and non-idempotent posts at `/invoices`, the posts with the highest
/// priority) and `tariffs` (lookups).
sample_configuration sampleConfiguration(const std::vector<std::string> &zones,
                                         const std::vector<sample_customer> &customers,
                                         random_source &random);

/// \brief A fleet with one node and backend server per zone and service, named e.g. `a-tariffs`.
struct sample_fleet
{
    explicit sample_fleet(fleet_options options, const std::vector<sample_customer> &customers,
                          std::vector<std::string> zoneNames = {"a", "b", "c", "d"});

    /// \returns a request with the customer's key and a marker that the backend servers echo.
    http_request request(std::string_view method, std::string_view target,
                         std::string_view customer, std::string_view marker) const;
    /// \returns a post to `/invoices` with the request id \a id; \sa newRequestId
    http_request write(std::string_view customer, std::string_view marker,
                       std::string_view id) const;
    /// \brief Sends a write without a request id to \a node and runs the fleet for 5 ms.
    /// \returns the request id from the refusal; empty if no response came.
    std::string newRequestId(const std::string &node, std::string_view customer);
    /// \returns how often backend servers started to execute the request with \a marker.
    std::size_t executionsOf(std::string_view marker) const;

    seeded_random random;
    std::vector<std::string> zones;
    sample_configuration configuration;
    virtual_fleet fleet;
};

} // namespace tamarackridge::scenario
