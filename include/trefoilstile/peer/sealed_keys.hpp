// Encoding of a stopped instance's key table for its handoff to a peer.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/idempotency/sealed_tables.hpp"

namespace trefoilstile::peer
{

/// Bytes of one part, to be carried by a `HandoffPart`.
std::string encodeSealedPart(const idempotency::SealedPart &part);

/// The part, or nothing if the bytes are no valid encoding of one.
std::optional<idempotency::SealedPart> decodeSealedPart(std::string_view bytes);

} // namespace trefoilstile::peer
