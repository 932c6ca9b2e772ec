// Encoding of the rows of a feed response.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::peer
{

/// Encodes rows, compressed if they are large.
FeedRows encodeFeedRows(std::span<const FeedRow> rows);

/// Decodes rows; nothing if they are malformed.
std::optional<std::vector<FeedRow>> decodeFeedRows(const FeedRows &rows);

} // namespace trefoilstile::peer
