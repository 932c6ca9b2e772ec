// Rendezvous hashing: nodes with the same member list select the same candidates for a role without coordination.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::steering
{

/// The `count` candidates with the highest weight for `role`, best first; fewer if there are fewer candidates. A change
/// of one candidate moves at most one place.
std::vector<base::IncarnationId> rendezvousChoice(std::span<const base::IncarnationId> candidates, std::string_view role, std::size_t count);

} // namespace trefoilstile::steering
