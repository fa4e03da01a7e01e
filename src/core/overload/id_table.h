#pragma once

#include <cstdint>
#include <vector>

namespace tamarackridge::internal {

/// \brief Fixed-size hash table from entry id to slot, with linear probing.
class id_table
{
public:
    static constexpr std::uint32_t absent = 0xffff'ffffU;

    /// \param entries maximum number of entries.
    explicit id_table(std::uint32_t entries);

    /// \returns the slot of \a id, or absent.
    std::uint32_t find(std::uint64_t id) const { return m_cells[cellOf(id)].slot; }
    void insert(std::uint64_t id, std::uint32_t slot) { m_cells[cellOf(id)] = {id, slot}; }
    void erase(std::uint64_t id);

private:
    struct cell
    {
        std::uint64_t id = 0;
        std::uint32_t slot = absent;
    };

    std::size_t home(std::uint64_t id) const;
    /// \returns the cell that holds \a id, or the free cell where it would be inserted.
    std::size_t cellOf(std::uint64_t id) const;

    std::vector<cell> m_cells;
    std::size_t m_mask;
};

} // namespace tamarackridge::internal
