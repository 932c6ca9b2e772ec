// Splitting and reassembly of large byte strings.

#include "trefoilstile/peer/parts.hpp"

#include <algorithm>
#include <utility>

namespace trefoilstile::peer
{

std::uint32_t partCount(std::size_t totalBytes)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, (totalBytes + s_maximumPartBytes - 1) / s_maximumPartBytes));
}

Part partOf(std::uint64_t transfer, std::string_view whole, std::uint32_t index)
{
    Part part;
    part.transfer = transfer;
    part.index = index;
    part.count = partCount(whole.size());
    part.totalBytes = whole.size();
    part.bytes = std::string(whole.substr(index * s_maximumPartBytes, s_maximumPartBytes));
    return part;
}

bool PartAssembler::add(const Part &part)
{
    if (!m_count) {
        if (part.totalBytes > m_limit || part.count != partCount(part.totalBytes)) {
            throw PartError("the transfer exceeds its size limit or has a wrong number of parts");
        }
        m_count = part.count;
        m_totalBytes = part.totalBytes;
    }
    if (part.transfer != m_transfer || part.count != *m_count || part.totalBytes != m_totalBytes) {
        throw PartError("the part belongs to another transfer");
    }
    if (part.index < m_received) {
        return m_received == *m_count;
    }
    const std::size_t expected = std::min<std::size_t>(s_maximumPartBytes, m_totalBytes - m_bytes.size());
    if (part.index != m_received || part.bytes.size() != expected) {
        throw PartError("the part is out of order or has a wrong size");
    }
    m_bytes += part.bytes;
    ++m_received;
    return m_received == *m_count;
}

std::string PartAssembler::take()
{
    m_received = 0;
    m_count.reset();
    return std::exchange(m_bytes, {});
}

} // namespace trefoilstile::peer
