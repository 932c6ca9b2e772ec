// Parsing and printing of IP addresses through the C library.

#include "trefoilstile/base/ip.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>

namespace trefoilstile::base
{

namespace
{

constexpr std::uint64_t s_v4Prefix = 0x0000ffff00000000ULL; // low half of ::ffff:0.0.0.0
constexpr unsigned s_v4MappedBits = 96;
constexpr unsigned s_halfBits = 64;
constexpr unsigned s_addressBits = 128;

std::uint64_t readBigEndian(const std::uint8_t *bytes)
{
    std::uint64_t value = 0;
    for (int i = 0; i < 8; ++i) {
        value = (value << 8U) | bytes[i];
    }
    return value;
}

std::uint64_t highMask(unsigned bits)
{
    return bits == 0 ? 0 : ~0ULL << (s_halfBits - bits);
}

} // namespace

bool IpAddress::isV4() const
{
    return high == 0 && (low >> 32U) == (s_v4Prefix >> 32U);
}

bool IpBlock::contains(const IpAddress &address) const
{
    return masked(address, prefixLength) == first;
}

std::optional<IpAddress> parseIpAddress(std::string_view text)
{
    const std::string terminated(text);
    in_addr v4{};
    if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1) {
        return IpAddress{0, s_v4Prefix | ntohl(v4.s_addr)};
    }
    std::array<std::uint8_t, 16> bytes{};
    if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1) {
        return IpAddress{readBigEndian(bytes.data()), readBigEndian(bytes.data() + 8)};
    }
    return std::nullopt;
}

std::optional<IpBlock> parseIpBlock(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<IpAddress> address = parseIpAddress(text.substr(0, slash));
    const std::string_view digits = text.substr(slash + 1);
    unsigned length = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (!address || digits.empty() || error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    const bool v4Text = text.substr(0, slash).find(':') == std::string_view::npos;
    if (length > (v4Text ? s_addressBits - s_v4MappedBits : s_addressBits)) {
        return std::nullopt;
    }
    length += v4Text ? s_v4MappedBits : 0;
    if (masked(*address, length) != *address) {
        return std::nullopt;
    }
    return IpBlock{*address, static_cast<std::uint8_t>(length)};
}

std::string toString(const IpAddress &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.isV4()) {
        in_addr v4{};
        v4.s_addr = htonl(static_cast<std::uint32_t>(address.low));
        inet_ntop(AF_INET, &v4, text.data(), text.size());
        return text.data();
    }
    std::array<std::uint8_t, 16> bytes{};
    for (unsigned i = 0; i < 8; ++i) {
        bytes[i] = static_cast<std::uint8_t>(address.high >> (56U - 8U * i));
        bytes[8 + i] = static_cast<std::uint8_t>(address.low >> (56U - 8U * i));
    }
    inet_ntop(AF_INET6, bytes.data(), text.data(), text.size());
    return text.data();
}

IpAddress masked(const IpAddress &address, unsigned prefixLength)
{
    if (prefixLength >= s_halfBits) {
        return {address.high, address.low & highMask(prefixLength - s_halfBits)};
    }
    return {address.high & highMask(prefixLength), 0};
}

} // namespace trefoilstile::base
