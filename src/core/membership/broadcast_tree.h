#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Position of a node in the trees that entries are passed on along.
///
/// The root of an entry's tree is the node that the entry is about, or a relay in the other zones.
/// A node at distance d from the root passes the entry on to the ring neighbours at distances
/// d + 1, d + 2, d + 4, … below d plus the lowest set bit of d, which are among its links. If all
/// nodes have the same ring, the entry reaches each of them once.
class broadcast_tree
{
public:
    /// \param ring names of the nodes of the zone of \a self, in ring order.
    /// \param relays number of nodes of lowest rank that link to other zones.
    broadcast_tree(std::vector<std::string> ring, std::string_view self, std::size_t relays);

    /// \returns true if the node passes an entry about \a origin on to \a neighbour, one of its
    /// neighbours in the ring or a relay of another zone.
    bool passesOn(std::string_view origin, std::string_view neighbour) const;

private:
    /// \returns the rank of the relay that passes entries about \a origin between zones.
    std::size_t relayRank(std::string_view origin) const;
    std::size_t distance(std::size_t root, std::size_t rank) const;

    std::vector<std::string> m_ring;
    std::map<std::string_view, std::size_t> m_ranks;
    std::size_t m_relays;
    std::size_t m_selfRank;
};

} // namespace tamarackridge
