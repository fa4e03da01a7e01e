#include "broadcast_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

namespace tamarackridge {
namespace {

// Differs from the seed of the ring's hash, so that a node's relay does not depend on its rank.
constexpr std::uint64_t relaySeed = 1;

} // namespace

broadcast_tree::broadcast_tree(std::vector<std::string> ring, std::string_view self,
                               std::size_t relays)
    : m_ring(std::move(ring))
    , m_relays(std::min(relays, m_ring.size()))
{
    for (std::size_t rank = 0; rank < m_ring.size(); ++rank)
        m_ranks.emplace(m_ring[rank], rank);
    const auto found = m_ranks.find(self);
    m_selfRank = found == m_ranks.end() ? m_ring.size() : found->second;
}

bool broadcast_tree::passesOn(std::string_view origin, std::string_view neighbour) const
{
    if (m_selfRank == m_ring.size())
        return true; // Other nodes consider this one dead, so the trees are not known.
    const auto originRank = m_ranks.find(origin);
    const auto neighbourRank = m_ranks.find(neighbour);
    const bool isLocalOrigin = originRank != m_ranks.end();
    if (neighbourRank == m_ranks.end())
        return isLocalOrigin && m_selfRank == relayRank(origin);
    const std::size_t root = isLocalOrigin ? originRank->second : relayRank(origin);
    const std::size_t own = distance(root, m_selfRank);
    const std::size_t other = distance(root, neighbourRank->second);
    if (other <= own)
        return false;
    const std::size_t step = other - own;
    const std::size_t lowestBit = own & (~own + 1);
    return std::has_single_bit(step) && (own == 0 || step < lowestBit);
}

std::size_t broadcast_tree::relayRank(std::string_view origin) const
{
    return XXH3_64bits_withSeed(origin.data(), origin.size(), relaySeed) % m_relays;
}

std::size_t broadcast_tree::distance(std::size_t root, std::size_t rank) const
{
    return (rank + m_ring.size() - root) % m_ring.size();
}

} // namespace tamarackridge
