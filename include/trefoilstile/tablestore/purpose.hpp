// Purposes of requests to the platform, in order of precedence.
#pragma once

#include <cstddef>
#include <cstdint>

namespace trefoilstile::tablestore
{

/// What a request to the platform is for. A lower value takes precedence.
enum class Purpose : std::uint8_t {
    Documents, ///< steering documents and drain lists
    Claims, ///< claims of caller-generated keys
    Statistics, ///< instance list, loans and reports
};

inline constexpr std::size_t s_purposeCount = 3;

} // namespace trefoilstile::tablestore
