// Payloads to and from the bytes inside an envelope.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::peer
{

/// Kind number of a payload on the wire, from 1.
std::int32_t kindOf(const Payload &payload);

/// Channel of a kind number, or nothing if the kind is unknown.
std::optional<Channel> channelOfKind(std::int32_t kind);

/// Payload in compact encoding.
std::string encodePayload(const Payload &payload);

/// @throws MalformedBytes
Payload decodePayload(std::int32_t kind, std::string_view bytes);

} // namespace trefoilstile::peer
