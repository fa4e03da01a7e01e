#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackridge {

/// \brief Number of micro-tokens that admit one request.
inline constexpr micro_tokens microTokensPerRequest = 1'000'000;

/// \brief Rate and burst of one customer over the entire fleet.
struct customer_rate
{
    std::string name;
    micro_tokens rate = 0; ///< Micro-tokens per second.
    micro_tokens burst = 0; ///< Micro-tokens.
};

/// \brief Name and number of slots of one availability zone.
struct quota_zone
{
    std::string name;
    std::uint32_t slots = 4;
};

namespace internal {

/// \brief Maximum deviation of a VM's clock rate, in parts per thousand, for which the quota holds.
inline constexpr std::int64_t maxClockErrorPerMille = 5;

/// \returns \a length shortened by 0.5%. A holder applies this to its lease. Other nodes wait 1%
/// longer than the lease, but two clocks that are each 0.5% off in opposite directions differ by
/// slightly more than 1%.
constexpr duration shortenForClockError(duration length)
{
    return length - length * maxClockErrorPerMille / 1000;
}

/// \returns \a length extended by 1%. Nodes wait this long, on their own clocks, for the lease of
/// another node to end.
constexpr duration extendForClockError(duration length)
{
    return length + length * (2 * maxClockErrorPerMille) / 1000;
}

/// \brief Transparent hash that looks up a std::string key by std::string_view without a copy.
struct name_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const noexcept
    {
        return std::hash<std::string_view>{}(name);
    }
};

/// \brief Map keyed by name; lookups do not allocate.
template <typename Value>
using name_map = std::unordered_map<std::string, Value, name_hash, std::equal_to<>>;

} // namespace internal
} // namespace tamarackridge
