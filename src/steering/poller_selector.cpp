// Selection of the pollers of a failure domain.

#include "trefoilstile/steering/poller_selector.hpp"

#include <algorithm>
#include <vector>

namespace trefoilstile::steering
{

bool PollerSelector::isPoller(std::span<const base::IncarnationId> alive) const
{
    std::vector<base::IncarnationId> candidates(alive.begin(), alive.end());
    if (std::find(candidates.begin(), candidates.end(), m_self) == candidates.end()) {
        candidates.push_back(m_self);
    }
    const auto chosen = rendezvousChoice(candidates, m_role, m_options.pollersPerDomain);
    return std::find(chosen.begin(), chosen.end(), m_self) != chosen.end();
}

} // namespace trefoilstile::steering
