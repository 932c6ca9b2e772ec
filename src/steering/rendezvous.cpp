// Weights of rendezvous hashing.

#include "trefoilstile/steering/rendezvous.hpp"

#include <algorithm>
#include <utility>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::steering
{

std::vector<base::IncarnationId> rendezvousChoice(std::span<const base::IncarnationId> candidates, std::string_view role, std::size_t count)
{
    const std::uint64_t seed = base::stableHash(role);
    std::vector<std::pair<std::uint64_t, base::IncarnationId>> weighted;
    weighted.reserve(candidates.size());
    for (const base::IncarnationId candidate : candidates) {
        weighted.emplace_back(base::mixBits(candidate.value ^ seed), candidate);
    }
    const std::size_t kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(), std::greater<>{});
    std::vector<base::IncarnationId> chosen;
    chosen.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        chosen.push_back(weighted[i].second);
    }
    return chosen;
}

} // namespace trefoilstile::steering
