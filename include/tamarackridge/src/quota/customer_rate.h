#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackridge {

/// \brief Micro-tokens that admit one request.
inline constexpr micro_tokens microTokensPerRequest = 1'000'000;

/// \brief Rate and burst of one customer over the whole fleet.
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

/// \brief Deviation of a VM's clock rate that the bounds tolerate, in parts per thousand.
inline constexpr std::int64_t clockErrorPerMille = 5;

/// \returns \a lease as its holder counts it. Two clocks that are each 0.5% off differ by slightly
/// more than the 1% that the other side waits, so the holder gives up 0.5% of its lease.
constexpr duration ownLease(duration lease)
{
    return lease - lease * clockErrorPerMille / 1000;
}

/// \returns how long others wait for \a lease: 1% more, on their own clocks.
constexpr duration othersLease(duration lease)
{
    return lease + lease * (2 * clockErrorPerMille) / 1000;
}

/// \brief Hash that finds a std::string key by std::string_view without a copy.
struct name_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const noexcept
    {
        return std::hash<std::string_view>{}(name);
    }
};

/// \brief Map from names, searched without allocation.
template <typename Value>
using name_map = std::unordered_map<std::string, Value, name_hash, std::equal_to<>>;

} // namespace internal
} // namespace tamarackridge
