// Idempotency keys: text form, issuer, issue time, and the fingerprint of the request that a key identifies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::idempotency
{

/// Maximum length of a key of either kind, in bytes; bounds the memory of a record.
inline constexpr std::size_t s_maximumKeyLength = 128;

/// Maximum length of the suffix that a caller appends to an issued prefix, in bytes.
inline constexpr std::size_t s_maximumSuffixLength = 64;

/// Resolution of the issue time in a key. At this resolution its 24 bits cover 31 years of uptime and leave 40 random bits.
inline constexpr base::Duration s_issueTick = std::chrono::minutes(1);

/// Hash of method, target and body; distinguishes different requests that use the same key.
using Fingerprint = base::Id<struct FingerprintTag>;

/// Fingerprint of a request. Not cryptographic: a collision only hides a caller's error and never causes a second run.
Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body);

/// Kind of a key, which decides how a request with it is handled.
enum class KeyKind : std::uint8_t {
    Invalid, ///< empty, too long, or contains characters other than visible ASCII
    Issued, ///< `t1.<incarnation>.<random>.<suffix>`
    CallerGenerated, ///< any other text; needs a claim in the table service
};

KeyKind keyKind(std::string_view key);

/// Parts of a key of the form `t1.<incarnation, 16 hex>.<random, 16 hex>.<suffix>`; the suffix has 1 to 64 characters
/// from letters, digits, `-` and `_`. The top 24 bits of the random part are the issue time in ticks since the issuer
/// started, so that the issuer can refuse keys whose record may already have been evicted.
struct IssuedKey {
    base::IncarnationId incarnation;
    std::uint64_t random{};
    std::string_view suffix; ///< view into the parsed text

    /// Issue time in ticks since the start of the issuer.
    std::uint32_t issueTick() const;

    /// Parts of the key; nothing if the text does not have that form.
    static std::optional<IssuedKey> parse(std::string_view key);
};

/// Creates key prefixes for one incarnation. Small enough to be copied into the snapshots of other threads.
class KeyIssuer
{
public:
    KeyIssuer(base::IncarnationId incarnation, base::TimePoint startedAt);

    base::IncarnationId incarnation() const
    {
        return m_incarnation;
    }

    /// Ticks of `s_issueTick` since the start; at most the greatest 24-bit value.
    std::uint32_t tickAt(base::TimePoint now) const;

    /// Prefix `t1.<incarnation>.<random>.` for one lookup response.
    template<base::RandomSource R>
    std::string prefix(base::TimePoint now, R &random) const
    {
        return prefixFor(now, random.next());
    }

    /// Prefix with the given random bits, of which 40 are used.
    std::string prefixFor(base::TimePoint now, std::uint64_t randomBits) const;

private:
    base::IncarnationId m_incarnation;
    base::TimePoint m_startedAt;
};

} // namespace trefoilstile::idempotency
