#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <new>

/// \file
/// Replaces the global operator new to count allocations, also from several threads. Must be
/// included in only one source file of a program.

namespace tamarackridge::bench {

inline std::atomic<std::uint64_t> allocations{0};
inline std::atomic<std::uint64_t> allocatedBytes{0};

inline void *countedAllocation(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    allocatedBytes.fetch_add(size, std::memory_order_relaxed);
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

} // namespace tamarackridge::bench

void *operator new(std::size_t size)
{
    return tamarackridge::bench::countedAllocation(size);
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
