// Text form of incarnation IDs and the stable hash.

#include "trefoilstile/base/ids.hpp"

#include <charconv>

#include <fmt/format.h>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::base
{

namespace
{
constexpr std::size_t s_hexDigits = 16;
}

std::string toHex(IncarnationId incarnation)
{
    return fmt::format("{:016x}", incarnation.value);
}

std::optional<IncarnationId> incarnationFromHex(std::string_view text)
{
    if (text.size() != s_hexDigits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    IncarnationId incarnation;
    std::from_chars(text.data(), text.data() + text.size(), incarnation.value, 16);
    return incarnation;
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ mixBits(seed);
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
    return mixBits(hash);
}

} // namespace trefoilstile::base
