// Identifiers that cannot be mixed up with each other.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilstile::base
{

/// Integer with a type of its own; `Tag` tells one kind of identifier from another.
template<typename Tag, typename Value = std::uint64_t>
struct Id {
    Value value{};

    // The check takes the 0 in rewritten comparisons such as a < b for a null pointer.
    friend constexpr auto operator<=>(const Id &, const Id &) = default; // NOLINT(modernize-use-nullptr)
};

/// One run of an entry instance or upstream process: 64 random bits drawn at start. A process that is replaced at the
/// same address has another incarnation.
using IncarnationId = Id<struct IncarnationTag>;

/// One request held by this instance; unique within the process.
using RequestId = Id<struct RequestTag>;

/// One attempt to have a request served by an upstream; unique within the process. Answers to superseded attempts are
/// recognised by it.
using AttemptId = Id<struct AttemptTag>;

/// Version of a document or drain list; a node moves to higher generations only. 0 means none.
using Generation = Id<struct GenerationTag>;

/// Text of an incarnation id: 16 lower-case hexadecimal digits.
std::string toHex(IncarnationId incarnation);

/// Incarnation id read from 16 hexadecimal digits, or nothing if the text is not of that form.
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
