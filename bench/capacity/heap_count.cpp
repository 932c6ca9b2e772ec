// Replaces operator new and delete by counting ones. The programs have one thread, so plain counters do.

#include "heap_count.hpp"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::size_t s_bytes = 0;
std::size_t s_peak = 0;

void release(void *memory)
{
    s_bytes -= malloc_usable_size(memory);
    std::free(memory);
}

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(std::max<std::size_t>(size, 1));
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    s_bytes += malloc_usable_size(memory);
    s_peak = std::max(s_peak, s_bytes);
    return memory;
}

void operator delete(void *memory) noexcept
{
    release(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}

namespace trefoilstile::bench
{

std::size_t heapBytes()
{
    return s_bytes;
}

std::size_t heapPeak()
{
    return s_peak;
}

void resetHeapPeak()
{
    s_peak = s_bytes;
}

} // namespace trefoilstile::bench
