// Longest-prefix match from caller addresses to sites, in compact arrays for 840,000 client blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/document/steering_document.hpp"

namespace trefoilstile::routing
{

/// Immutable table. Nested blocks are flattened into disjoint ranges when it is built, so that a lookup is one search.
class BlockTable
{
public:
    /// Table in which every address belongs to `defaultSite`.
    explicit BlockTable(std::uint16_t defaultSite = 0);

    /// @param blocks each block at most once, in any order
    /// @param defaultSite site of addresses that no block contains
    BlockTable(std::span<const document::ClientBlock> blocks, std::uint16_t defaultSite);

    /// Site of the longest block that contains the address.
    std::uint16_t site(const base::IpAddress &address) const;

    /// Memory held, in bytes.
    std::size_t memoryBytes() const;

private:
    // Range i reaches from m_v4Starts[i] to m_v4Starts[i + 1] - 1 and belongs to m_v4Sites[i]; starts ascend strictly and
    // the first is 0. The same holds for IPv6, whose ranges leave out the IPv4 blocks: an IPv4 address is never looked up there.
    std::vector<std::uint32_t> m_v4Starts;
    std::vector<std::uint16_t> m_v4Sites;
    std::vector<std::uint32_t> m_v4Index; // for each value h of the upper 16 bits: number of starts below h * 2^16
    std::vector<base::IpAddress> m_v6Starts;
    std::vector<std::uint16_t> m_v6Sites;
};

} // namespace trefoilstile::routing
