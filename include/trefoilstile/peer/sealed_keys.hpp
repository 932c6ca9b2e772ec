// Encoding of a stopping instance's sealed key table for the handoff to a peer.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/idempotency/sealed_tables.hpp"

namespace trefoilstile::peer
{

/// Encodes one part as the bytes of a `HandoffPart`.
std::string encodeSealedPart(const idempotency::SealedPart &part);

/// Decodes one part; nothing if the bytes are not a valid encoding.
std::optional<idempotency::SealedPart> decodeSealedPart(std::string_view bytes);

} // namespace trefoilstile::peer
