#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace tamarackridge::internal {

/// \brief Binary heap of slot numbers that supports erasing an arbitrary slot.
///
/// Storage for all slots is allocated up front.
/// \tparam before strict weak order of slots; the slot that comes first is at the top.
template <typename before>
class indexed_heap
{
public:
    indexed_heap(std::uint32_t slots, before order)
        : m_order(std::move(order))
        , m_position(slots)
    {
        m_heap.reserve(slots);
    }

    bool empty() const { return m_heap.empty(); }
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_heap.size()); }
    std::uint32_t top() const { return m_heap.front(); }

    void push(std::uint32_t slot)
    {
        m_heap.push_back(slot);
        place(size() - 1, slot);
        siftUp(size() - 1);
    }

    void erase(std::uint32_t slot)
    {
        const std::uint32_t hole = m_position[slot];
        const std::uint32_t last = m_heap.back();
        m_heap.pop_back();
        if (last == slot)
            return;
        place(hole, last);
        siftUp(hole);
        siftDown(m_position[last]);
    }

private:
    void place(std::uint32_t position, std::uint32_t slot)
    {
        m_heap[position] = slot;
        m_position[slot] = position;
    }

    void swap(std::uint32_t first, std::uint32_t second)
    {
        const std::uint32_t slot = m_heap[first];
        place(first, m_heap[second]);
        place(second, slot);
    }

    void siftUp(std::uint32_t position)
    {
        while (position > 0) {
            const std::uint32_t parent = (position - 1) / 2;
            if (!m_order(m_heap[position], m_heap[parent]))
                return;
            swap(position, parent);
            position = parent;
        }
    }

    void siftDown(std::uint32_t position)
    {
        for (;;) {
            std::uint32_t child = 2 * position + 1;
            if (child >= size())
                return;
            if (child + 1 < size() && m_order(m_heap[child + 1], m_heap[child]))
                ++child;
            if (!m_order(m_heap[child], m_heap[position]))
                return;
            swap(position, child);
            position = child;
        }
    }

    before m_order;
    std::vector<std::uint32_t> m_heap;
    std::vector<std::uint32_t> m_position;
};

} // namespace tamarackridge::internal
