#pragma once

#include <malloc.h>

#include <cstdint>
#include <cstdlib>
#include <new>

// Replaces the global operator new of the program; to be included in one file only.

namespace tamarackridge::bench {

inline std::uint64_t allocations = 0;
inline std::uint64_t allocatedBytes = 0; ///< With the allocator's rounding.
inline std::uint64_t freedBytes = 0;

} // namespace tamarackridge::bench

// Not inlined: GCC would take malloc() and free() for mismatched with operator new and delete.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    ++tamarackridge::bench::allocations;
    tamarackridge::bench::allocatedBytes += malloc_usable_size(memory);
    return memory;
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    tamarackridge::bench::freedBytes += malloc_usable_size(memory);
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}
