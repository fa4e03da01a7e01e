#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace tamarackridge {

/// \brief Random number that a process draws at start; it distinguishes the incarnations of one
/// node.
using incarnation_id = std::uint64_t;

/// \brief Identity of one incarnation of a node.
struct node_ref
{
    std::string zone; ///< Availability zone.
    std::string name; ///< Name of the node, unique in the fleet.
    incarnation_id incarnation = 0;

    friend bool operator==(const node_ref &, const node_ref &) = default;
    friend std::strong_ordering operator<=>(const node_ref &, const node_ref &) = default;
};

/// \brief Identity of one dispatch from an owner to an executor; never reused.
struct dispatch_id
{
    incarnation_id owner = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const dispatch_id &, const dispatch_id &) = default;
    friend std::strong_ordering operator<=>(const dispatch_id &, const dispatch_id &) = default;
};

} // namespace tamarackridge
