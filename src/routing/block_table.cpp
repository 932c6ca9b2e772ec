// Flattens nested blocks into ranges and searches them.

#include "trefoilstile/routing/block_table.hpp"

#include <algorithm>
#include <limits>

namespace trefoilstile::routing
{

namespace
{

constexpr unsigned s_indexShift = 16; // the index is keyed by the upper half of an IPv4 address
constexpr std::size_t s_indexSize = (1U << 16U) + 1;
constexpr std::uint64_t s_v4Mask = 0xffffffffULL;
constexpr unsigned s_v4MappedBits = 96;

struct Range {
    base::IpAddress start;
    std::uint16_t site;
};

/// First address after the block; zero if the block reaches the end of the address space.
base::IpAddress endOf(const base::IpBlock &block)
{
    base::IpAddress end = block.first;
    if (block.prefixLength == 0) {
        return {0, 0};
    }
    if (block.prefixLength > 64) {
        const std::uint64_t step = 1ULL << (128U - block.prefixLength);
        end.low += step;
        end.high += end.low < step ? 1 : 0;
        return end;
    }
    end.low = 0;
    end.high += 1ULL << (64U - block.prefixLength);
    return end;
}

/// Appends a range. It replaces the last range if both have the same start, and extends it if both have the same site.
void append(std::vector<Range> &ranges, const base::IpAddress &start, std::uint16_t site)
{
    if (!ranges.empty() && ranges.back().start == start) {
        ranges.pop_back();
    }
    if (ranges.empty() || ranges.back().site != site) {
        ranges.push_back({start, site});
    }
}

/// Returns the disjoint ranges of blocks that are sorted by start address, enclosing blocks first. `first` is the start of the
/// address space.
std::vector<Range> flatten(std::span<const document::ClientBlock> sorted, const base::IpAddress &first, std::uint16_t defaultSite)
{
    std::vector<Range> ranges{{first, defaultSite}};
    std::vector<document::ClientBlock> enclosing;
    const auto closeUntil = [&](const base::IpAddress *next) {
        while (!enclosing.empty()) {
            const base::IpAddress end = endOf(enclosing.back().block);
            if (next != nullptr && enclosing.back().block.contains(*next)) {
                return;
            }
            enclosing.pop_back();
            if (end > first) {
                append(ranges, end, enclosing.empty() ? defaultSite : enclosing.back().site);
            }
        }
    };
    for (const document::ClientBlock &block : sorted) {
        closeUntil(&block.block.first);
        append(ranges, block.block.first, block.site);
        enclosing.push_back(block);
    }
    closeUntil(nullptr);
    return ranges;
}

bool isV4Block(const document::ClientBlock &block)
{
    return block.block.first.isV4() && block.block.prefixLength >= s_v4MappedBits;
}

} // namespace

BlockTable::BlockTable(std::uint16_t defaultSite)
    : BlockTable({}, defaultSite)
{
}

BlockTable::BlockTable(std::span<const document::ClientBlock> blocks, std::uint16_t defaultSite)
{
    std::vector<document::ClientBlock> sorted(blocks.begin(), blocks.end());
    std::sort(sorted.begin(), sorted.end(), [](const document::ClientBlock &left, const document::ClientBlock &right) {
        return left.block < right.block;
    });
    std::uint16_t v4Default = defaultSite; // an IPv6 block shorter than /96 can enclose the whole IPv4-mapped range
    std::uint8_t longest = 0;
    const base::IpAddress v4First{0, ~s_v4Mask & 0x0000ffffffffffffULL};
    for (const document::ClientBlock &block : sorted) {
        if (!isV4Block(block) && block.block.contains(v4First) && block.block.prefixLength >= longest) {
            longest = block.block.prefixLength;
            v4Default = block.site;
        }
    }
    const auto firstV4 = std::stable_partition(sorted.begin(), sorted.end(), [](const document::ClientBlock &block) {
        return !isV4Block(block);
    });
    const std::span<const document::ClientBlock> v6Blocks(sorted.begin(), firstV4);
    const std::span<const document::ClientBlock> v4Blocks(firstV4, sorted.end());
    for (const Range &range : flatten(v6Blocks, {0, 0}, defaultSite)) {
        m_v6Starts.push_back(range.start);
        m_v6Sites.push_back(range.site);
    }
    for (const Range &range : flatten(v4Blocks, v4First, v4Default)) {
        if (range.start.isV4()) {
            m_v4Starts.push_back(static_cast<std::uint32_t>(range.start.low & s_v4Mask));
            m_v4Sites.push_back(range.site);
        }
    }
    m_v4Index.reserve(s_indexSize);
    for (std::size_t high = 0; high < s_indexSize; ++high) {
        const std::uint64_t bound = static_cast<std::uint64_t>(high) << s_indexShift;
        const auto position = std::lower_bound(m_v4Starts.begin(), m_v4Starts.end(), bound);
        m_v4Index.push_back(static_cast<std::uint32_t>(position - m_v4Starts.begin()));
    }
    m_v4Starts.shrink_to_fit();
    m_v4Sites.shrink_to_fit();
    m_v6Starts.shrink_to_fit();
    m_v6Sites.shrink_to_fit();
}

std::uint16_t BlockTable::site(const base::IpAddress &address) const
{
    if (address.isV4()) {
        const auto value = static_cast<std::uint32_t>(address.low & s_v4Mask);
        const std::size_t high = value >> s_indexShift;
        const auto begin = m_v4Starts.begin() + m_v4Index[high];
        const auto end = m_v4Starts.begin() + m_v4Index[high + 1];
        return m_v4Sites[static_cast<std::size_t>(std::upper_bound(begin, end, value) - m_v4Starts.begin()) - 1];
    }
    const auto next = std::upper_bound(m_v6Starts.begin(), m_v6Starts.end(), address);
    return m_v6Sites[static_cast<std::size_t>(next - m_v6Starts.begin()) - 1];
}

std::size_t BlockTable::memoryBytes() const
{
    return m_v4Starts.capacity() * sizeof(std::uint32_t) + (m_v4Sites.capacity() + m_v6Sites.capacity()) * sizeof(std::uint16_t)
        + m_v4Index.capacity() * sizeof(std::uint32_t) + m_v6Starts.capacity() * sizeof(base::IpAddress);
}

} // namespace trefoilstile::routing
