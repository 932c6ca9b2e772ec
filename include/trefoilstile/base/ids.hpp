// Identifiers of distinct types, so that one kind cannot be used in place of another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilstile::base
{

/// Integer identifier; each `Tag` makes a distinct type.
template<typename Tag, typename Value = std::uint64_t>
struct Id {
    Value value{};

    // False positive: the check takes the 0 in rewritten comparisons such as a < b for a null pointer.
    friend constexpr auto operator<=>(const Id &, const Id &) = default; // NOLINT(modernize-use-nullptr)
};

/// One run of an entry instance or upstream process: 64 random bits drawn at start. A process that replaces another one at
/// the same address has a different incarnation.
using IncarnationId = Id<struct IncarnationTag>;

/// One request held by this instance; unique within the process.
using RequestId = Id<struct RequestTag>;

/// One attempt to have a request served by an upstream; unique within the process. It identifies responses to
/// superseded attempts.
using AttemptId = Id<struct AttemptTag>;

/// Version of a document or drain list; a node accepts only higher generations. 0 means none.
using Generation = Id<struct GenerationTag>;

/// Text of an incarnation ID: 16 lower-case hexadecimal digits.
std::string toHex(IncarnationId incarnation);

/// Parses an incarnation ID of 16 lower-case hexadecimal digits; nothing if the text has another form.
std::optional<IncarnationId> incarnationFromHex(std::string_view text);

/// Hash of a text that is the same in every process (FNV-1a with a final mix), for rendezvous hashing.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace trefoilstile::base

template<typename Tag, typename Value>
struct std::hash<trefoilstile::base::Id<Tag, Value>> {
    std::size_t operator()(const trefoilstile::base::Id<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value);
    }
};
