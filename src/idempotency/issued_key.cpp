// Parsing and creation of idempotency keys.

#include "trefoilstile/idempotency/issued_key.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace trefoilstile::idempotency
{

namespace
{
constexpr std::string_view s_tag = "t1.";
constexpr std::size_t s_hexDigits = 16;
constexpr std::size_t s_prefixLength = 3 + s_hexDigits + 1 + s_hexDigits + 1;
constexpr unsigned s_randomBits = 40;
constexpr std::uint64_t s_randomMask = (1ULL << s_randomBits) - 1;
constexpr std::int64_t s_maximumTick = (1 << 24) - 1;

bool isSuffixCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool isVisible(char c)
{
    return c > ' ' && c <= '~';
}
} // namespace

Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body)
{
    // The seed of each part is the hash of the part before it, so that the boundaries between the parts affect the result.
    return Fingerprint{base::stableHash(body, base::stableHash(target, base::stableHash(method)))};
}

KeyKind keyKind(std::string_view key)
{
    if (key.empty() || key.size() > s_maximumKeyLength || !std::all_of(key.begin(), key.end(), isVisible)) {
        return KeyKind::Invalid;
    }
    return IssuedKey::parse(key) ? KeyKind::Issued : KeyKind::CallerGenerated;
}

std::uint32_t IssuedKey::issueTick() const
{
    return static_cast<std::uint32_t>(random >> s_randomBits);
}

std::optional<IssuedKey> IssuedKey::parse(std::string_view key)
{
    if (!key.starts_with(s_tag) || key.size() <= s_prefixLength || key.size() > s_prefixLength + s_maximumSuffixLength) {
        return std::nullopt;
    }
    const auto incarnation = base::incarnationFromHex(key.substr(s_tag.size(), s_hexDigits));
    const auto random = base::incarnationFromHex(key.substr(s_tag.size() + s_hexDigits + 1, s_hexDigits));
    const std::string_view suffix = key.substr(s_prefixLength);
    const bool separated = key[s_tag.size() + s_hexDigits] == '.' && key[s_prefixLength - 1] == '.';
    if (!incarnation || !random || !separated || !std::all_of(suffix.begin(), suffix.end(), isSuffixCharacter)) {
        return std::nullopt;
    }
    return IssuedKey{*incarnation, random->value, suffix};
}

KeyIssuer::KeyIssuer(base::IncarnationId incarnation, base::TimePoint startedAt)
    : m_incarnation(incarnation)
    , m_startedAt(startedAt)
{
}

std::uint32_t KeyIssuer::tickAt(base::TimePoint now) const
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>((now - m_startedAt) / s_issueTick, 0, s_maximumTick));
}

std::string KeyIssuer::prefixFor(base::TimePoint now, std::uint64_t randomBits) const
{
    const std::uint64_t random = (static_cast<std::uint64_t>(tickAt(now)) << s_randomBits) | (randomBits & s_randomMask);
    return fmt::format("t1.{}.{:016x}.", base::toHex(m_incarnation), random);
}

} // namespace trefoilstile::idempotency
