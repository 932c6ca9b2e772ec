// Calls of zlib.

#include "compression.hpp"

#include <zlib.h>

#include "translate.hpp"

namespace trefoilstile::peer
{

std::string compressed(std::string_view bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string result(size, '\0');
    // The fastest level: entries repeat their field names, so that even it saves most of the size.
    const int status = compress2(
        reinterpret_cast<Bytef *>(result.data()), &size, reinterpret_cast<const Bytef *>(bytes.data()), static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    require(status == Z_OK, "zlib cannot compress"); // only if memory is exhausted
    result.resize(size);
    return result;
}

std::string decompressed(std::string_view bytes, std::int32_t size)
{
    require(size > 0 && size <= s_maximumDecompressedBytes, "decompressed size out of range");
    std::string result(static_cast<std::size_t>(size), '\0');
    auto length = static_cast<uLongf>(size);
    const int status =
        uncompress(reinterpret_cast<Bytef *>(result.data()), &length, reinterpret_cast<const Bytef *>(bytes.data()), static_cast<uLong>(bytes.size()));
    require(status == Z_OK && length == result.size(), "malformed compressed bytes");
    return result;
}

} // namespace trefoilstile::peer
