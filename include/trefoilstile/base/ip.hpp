// IP addresses and blocks. IPv4 is stored as IPv4-mapped IPv6, so that one table can hold both.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilstile::base
{

/// IPv4 or IPv6 address as a 128-bit number in two halves.
struct IpAddress {
    std::uint64_t high{};
    std::uint64_t low{};

    /// True for an IPv4-mapped address.
    bool isV4() const;

    // False positive: the check takes the 0 in rewritten comparisons such as a < b for a null pointer; the same holds for blocks below.
    friend constexpr auto operator<=>(const IpAddress &, const IpAddress &) = default; // NOLINT(modernize-use-nullptr)
};

/// Block of addresses that share their first `prefixLength` bits.
struct IpBlock {
    IpAddress first; ///< bits after the prefix are zero
    std::uint8_t prefixLength{}; ///< 0 to 128, counted in the 128-bit form

    bool contains(const IpAddress &address) const;

    friend constexpr auto operator<=>(const IpBlock &, const IpBlock &) = default; // NOLINT(modernize-use-nullptr)
};

/// Parses the usual text form of an address; nothing if the text is malformed.
std::optional<IpAddress> parseIpAddress(std::string_view text);

/// Parses a block in the form `address/length`; nothing if the text is malformed or has bits set after the prefix.
std::optional<IpBlock> parseIpBlock(std::string_view text);

/// Usual text form of the address.
std::string toString(const IpAddress &address);

/// The address with all bits after the first `prefixLength` cleared.
IpAddress masked(const IpAddress &address, unsigned prefixLength);

} // namespace trefoilstile::base
