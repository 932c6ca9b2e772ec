// Idempotency keys: their text form, who issued them and when, and the fingerprint of the request they stand for.
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

/// Longest key of either kind, in bytes; bounds the memory of a record.
inline constexpr std::size_t s_maximumKeyLength = 128;

/// Longest suffix that a caller may append to an issued prefix, in bytes.
inline constexpr std::size_t s_maximumSuffixLength = 64;

/// Resolution of the issue time inside a key. Its 24 bits then cover 31 years of uptime and leave 40 random bits.
inline constexpr base::Duration s_issueTick = std::chrono::minutes(1);

/// Hash over method, target and body: tells two requests with the same key apart.
using Fingerprint = base::Id<struct FingerprintTag>;

/// Fingerprint of a request. Not cryptographic: a collision only hides a caller's mistake, it never causes a second run.
Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body);

/// How a key is treated.
enum class KeyKind : std::uint8_t {
    Invalid, ///< empty, too long, or has characters other than visible ASCII
    Issued, ///< `t1.<incarnation>.<random>.<suffix>`
    CallerGenerated, ///< any other text; needs a claim in the table service
};

KeyKind keyKind(std::string_view key);

/// Parts of a key of the form `t1.<incarnation, 16 hex>.<random, 16 hex>.<suffix>`; the suffix has 1 to 64 characters
/// out of letters, digits, `-` and `_`. The top 24 bits of the random part are the issue time in ticks since the issuer
/// started, so that the issuer can refuse keys so old that their record may have been forgotten.
struct IssuedKey {
    base::IncarnationId incarnation;
    std::uint64_t random{};
    std::string_view suffix; ///< points into the parsed text

    /// Issue time in ticks since the start of the issuer.
    std::uint32_t issueTick() const;

    /// Parts of the key, or nothing if the text is not of that form.
    static std::optional<IssuedKey> parse(std::string_view key);
};

/// Makes key prefixes for one incarnation; a small value that can be copied into snapshots of other threads.
class KeyIssuer
{
public:
    KeyIssuer(base::IncarnationId incarnation, base::TimePoint startedAt);

    base::IncarnationId incarnation() const
    {
        return m_incarnation;
    }

    /// Ticks since the start.
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
