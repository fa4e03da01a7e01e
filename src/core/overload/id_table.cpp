#include "core/overload/id_table.h"

#include <bit>

namespace tamarackridge::internal {

id_table::id_table(std::uint32_t entries)
    // At most half of the cells are in use, which keeps the probe sequences short.
    : m_cells(std::bit_ceil(2 * static_cast<std::size_t>(entries) + 2))
    , m_mask(m_cells.size() - 1)
{ }

void id_table::erase(std::uint64_t id)
{
    std::size_t hole = cellOf(id);
    if (m_cells[hole].slot == absent)
        return;
    // Moves later cells of the same probe sequence back, so no tombstones are needed.
    for (std::size_t next = (hole + 1) & m_mask; m_cells[next].slot != absent;
         next = (next + 1) & m_mask) {
        const std::size_t fromHome = (next - home(m_cells[next].id)) & m_mask;
        if (fromHome >= ((next - hole) & m_mask)) {
            m_cells[hole] = m_cells[next];
            hole = next;
        }
    }
    m_cells[hole] = {};
}

std::size_t id_table::home(std::uint64_t id) const
{
    const std::uint64_t mixed = id * 0x9e37'79b9'7f4a'7c15ULL;
    return static_cast<std::size_t>(mixed >> 32U) & m_mask;
}

std::size_t id_table::cellOf(std::uint64_t id) const
{
    std::size_t cell = home(id);
    while (m_cells[cell].slot != absent && m_cells[cell].id != id)
        cell = (cell + 1) & m_mask;
    return cell;
}

} // namespace tamarackridge::internal
