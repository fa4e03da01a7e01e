#include "core/membership/broadcast_tree.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tamarackridge {
namespace {

constexpr std::size_t relays = 3;

std::vector<std::string> ringOf(const std::string &zone, std::size_t size)
{
    std::vector<std::string> ring;
    for (std::size_t rank = 0; rank < size; ++rank)
        ring.push_back(zone + std::to_string(rank));
    return ring;
}

/// \returns the other nodes that the node of rank \a own has links to, in a ring like overlay's.
std::vector<std::string> linked(const std::vector<std::string> &ring, std::size_t own)
{
    std::vector<std::string> names;
    for (std::size_t rank = 0; rank < ring.size(); ++rank) {
        for (std::size_t distance = 1; distance < ring.size(); distance *= 2) {
            if ((own + distance) % ring.size() == rank || (rank + distance) % ring.size() == own) {
                names.push_back(ring[rank]);
                break;
            }
        }
    }
    return names;
}

/// \returns how often each node of \a ring receives an entry about \a origin that \a first has.
std::map<std::string, int> copies(const std::vector<std::string> &ring, const std::string &origin,
                                  std::size_t first)
{
    std::map<std::string, int> received;
    std::deque<std::size_t> pending{first};
    while (!pending.empty()) {
        const std::size_t rank = pending.front();
        pending.pop_front();
        const broadcast_tree tree(ring, ring[rank], relays);
        for (const std::string &neighbour : linked(ring, rank)) {
            if (tree.passesOn(origin, neighbour) && ++received[neighbour] == 1)
                pending.push_back(static_cast<std::size_t>(
                        std::find(ring.begin(), ring.end(), neighbour) - ring.begin()));
        }
    }
    return received;
}

// Guards against nodes that no branch reaches, and against copies over several branches.
TEST(broadcast_tree, an_entry_reaches_each_node_of_the_zone_once)
{
    for (std::size_t size = 1; size <= 40; ++size) {
        const std::vector<std::string> ring = ringOf("a", size);
        for (std::size_t origin = 0; origin < size; ++origin) {
            const std::map<std::string, int> received = copies(ring, ring[origin], origin);
            EXPECT_EQ(received.size(), size - 1);
            EXPECT_FALSE(received.contains(ring[origin]));
            for (const auto &[name, count] : received)
                EXPECT_EQ(count, 1) << name << " of " << size;
        }
    }
}

// Guards against entries that are sent between zones by every relay, or by none.
TEST(broadcast_tree, one_relay_passes_an_entry_to_another_zone)
{
    const std::vector<std::string> local = ringOf("a", 20);
    const std::vector<std::string> remote = ringOf("b", 20);
    for (const std::string &origin : local) {
        std::size_t senders = 0;
        for (std::size_t rank = 0; rank < relays; ++rank) {
            const broadcast_tree tree(local, local[rank], relays);
            if (!tree.passesOn(origin, remote[rank]))
                continue;
            ++senders;
            const std::map<std::string, int> received = copies(remote, origin, rank);
            EXPECT_EQ(received.size(), remote.size() - 1);
            for (const auto &[name, count] : received)
                EXPECT_EQ(count, 1) << name;
        }
        EXPECT_EQ(senders, 1U) << origin;
    }
}

// Guards against an entry that goes from zone to zone more than once: the relays of all zones have
// links to each other.
TEST(broadcast_tree, an_entry_of_another_zone_stays_in_the_zone)
{
    const std::vector<std::string> ring = ringOf("a", 20);
    for (std::size_t rank = 0; rank < relays; ++rank)
        EXPECT_FALSE(broadcast_tree(ring, ring[rank], relays).passesOn("b7", "c1"));
}

} // namespace
} // namespace tamarackridge
