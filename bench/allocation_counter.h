#pragma once

#include <malloc.h>

#include <cstdint>
#include <cstdlib>
#include <new>

// Replaces the global operators new and delete to count allocated and freed bytes in a program with
// one thread. Must be included in only one source file of a program.

namespace tamarackridge::bench {

inline std::uint64_t allocations = 0;
inline std::uint64_t allocatedBytes = 0; ///< Includes the allocator's rounding.
inline std::uint64_t freedBytes = 0;

} // namespace tamarackridge::bench

// Not inlined, since GCC would otherwise warn of malloc() and operator delete as a mismatched pair.
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
