// Bytes that operator new has handed out, for exact memory figures.
#pragma once

#include <cstddef>

namespace trefoilstile::bench
{

/// Bytes allocated at present, as the allocator rounds them up.
std::size_t heapBytes();

/// Most bytes allocated at a time since `resetHeapPeak`.
std::size_t heapPeak();

void resetHeapPeak();

} // namespace trefoilstile::bench
