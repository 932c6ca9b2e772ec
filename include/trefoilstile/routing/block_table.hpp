// Longest-prefix match from caller addresses to sites, stored in compact arrays; designed for 840,000 client blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/document/steering_document.hpp"

namespace trefoilstile::routing
{

/// Immutable table. Its construction flattens nested blocks into disjoint ranges, so that a lookup is one binary search.
class BlockTable
{
public:
    /// Creates a table that maps every address to `defaultSite`.
    explicit BlockTable(std::uint16_t defaultSite = 0);

    /// @param blocks in any order, without duplicates
    /// @param defaultSite site of addresses that no block contains
    BlockTable(std::span<const document::ClientBlock> blocks, std::uint16_t defaultSite);

    /// Site of the block with the longest prefix that contains the address; the default site if no block contains it.
    std::uint16_t site(const base::IpAddress &address) const;

    /// Size of the allocated arrays in bytes.
    std::size_t memoryBytes() const;

private:
    // Range i extends from m_v4Starts[i] to m_v4Starts[i + 1] - 1 and maps to m_v4Sites[i]. Starts are strictly ascending and
    // the first is 0. The same holds for IPv6. The IPv6 ranges omit the IPv4 blocks, since IPv4 addresses are not looked up
    // there.
    std::vector<std::uint32_t> m_v4Starts;
    std::vector<std::uint16_t> m_v4Sites;
    std::vector<std::uint32_t> m_v4Index; // for each value h of the upper 16 bits: number of starts below h * 2^16
    std::vector<base::IpAddress> m_v6Starts;
    std::vector<std::uint16_t> m_v6Sites;
};

} // namespace trefoilstile::routing
