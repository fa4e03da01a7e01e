#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief One service of a route and its part of the route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// \brief Requests for a host below a path prefix and how they are treated.
struct published_route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::vector<weighted_service> targets; ///< At least one.
    bool idempotent = false;
    bool open = false; ///< Needs no key.
    duration timeout{}; ///< Longest time that a request is kept waiting.
    duration objective{}; ///< Latency objective.
    std::uint32_t attempts = 1; ///< Servers to which one request may be sent.
    std::uint32_t priorityLevel = 0; ///< 0 is the most urgent.
};

/// \brief A customer with its keys and its rate, summed over all nodes.
struct published_customer
{
    std::string name;
    std::vector<std::string> keys;
    double rate = 0; ///< Requests per second; 0 for no limit.
    double burst = 0; ///< Requests.
    std::uint32_t priorityLevel = 0; ///< 0 is the most urgent; compared before a route's.
};

/// \brief Bounds of what a caller may send.
struct caller_limits
{
    std::uint64_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/// \brief A whole configuration as an operator published it.
struct published_set
{
    std::int64_t version = -1;
    std::vector<published_route> routes;
    std::vector<published_customer> customers; ///< Empty: no route needs a key.
    caller_limits limits;
    std::shared_ptr<const std::string> text; ///< As read, for handing on to peers.
};

} // namespace tamarackridge
