// Position in the platform's store: the era of the store and the version within it.
//
// A store that comes back from an older copy begins a new era and gives versions out again, so versions of two eras cannot be compared.
// Positions are ordered by era, then by version.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace trefoilstile::feed
{

struct Position {
    constexpr Position() = default;
    constexpr Position(std::uint64_t eraNumber, std::uint64_t versionNumber)
        : era(eraNumber)
        , version(versionNumber)
    {
    }

    std::uint64_t era{}; ///< 0: the store or the instance that gave the position does not tell it; below all others
    std::uint64_t version{};

    friend auto operator<=>(const Position &, const Position &) = default; // NOLINT(modernize-use-nullptr)
};

inline std::ostream &operator<<(std::ostream &out, const Position &position)
{
    return out << position.era << '/' << position.version;
}

} // namespace trefoilstile::feed
