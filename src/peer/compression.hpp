// Compression of large payload fields with zlib.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoilstile::peer
{

/// Fields below this size are sent as they are: compression would save less than a packet.
inline constexpr std::size_t s_minimumCompressedBytes = 1'024;

/// Upper bound for the decompressed size of a field, so that a wrong size does not exhaust the memory.
inline constexpr std::int32_t s_maximumDecompressedBytes = 4 << 20;

std::string compressed(std::string_view bytes);

/// @throws MalformedBytes unless the result has exactly `size` bytes
std::string decompressed(std::string_view bytes, std::int32_t size);

} // namespace trefoilstile::peer
