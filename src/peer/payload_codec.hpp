// Encoding and decoding of the payload bytes inside an envelope.
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

/// Encodes the payload with the Thrift compact protocol.
std::string encodePayload(const Payload &payload);

/// Decodes a payload of the given kind.
/// @throws MalformedBytes if the kind is unknown or the bytes are not a valid encoding
Payload decodePayload(std::int32_t kind, std::string_view bytes);

} // namespace trefoilstile::peer
