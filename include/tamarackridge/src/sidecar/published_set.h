#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief A service of a route and its share of the route's requests, in proportion to the weight.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// \brief Matches requests by host and path prefix, and says how they are handled.
struct published_route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::vector<weighted_service> targets; ///< At least one.
    bool idempotent = false;
    bool open = false; ///< Requests need no API key.
    duration timeout{}; ///< Maximum time until the caller gets a response.
    duration objective{}; ///< Latency objective; 0 when there is none.
    std::uint32_t attempts = 1; ///< Maximum number of backend servers to which one request is sent.
    std::uint32_t priorityLevel = 0; ///< 0 is the highest priority.
};

/// \brief A customer with its API keys and its rate limit, which holds for all nodes together.
struct published_customer
{
    std::string name;
    std::vector<std::string> keys;
    double rate = 0; ///< Requests per second; 0 means no limit.
    double burst = 0; ///< Requests.
    /// 0 is the highest priority; takes precedence over the level of the route.
    std::uint32_t priorityLevel = 0;
};

/// \brief A service that backend servers provide.
struct published_service
{
    std::string name;
    /// A GET request to it succeeds unless the server is leaving or unhealthy; empty if there is no
    /// such path.
    std::string healthPath;
};

/// \brief Limits on the size and the timing of what a caller sends.
struct caller_limits
{
    std::uint64_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/// \brief A complete configuration as published by the operator.
struct published_set
{
    std::int64_t version = -1;
    std::vector<published_route> routes;
    std::vector<published_service> services;
    std::vector<published_customer> customers; ///< When empty, no route needs a key.
    caller_limits limits;
    std::shared_ptr<const std::string> text; ///< The undecoded text, as it is sent to peers.
};

} // namespace tamarackridge
