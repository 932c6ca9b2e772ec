// What placement knows of the candidates of a request, for operators.

#include <algorithm>

#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::ingress
{

std::vector<CandidateDescription> Placement::describe(const PlacementRequest &request, std::size_t limit, base::TimePoint now)
{
    ServiceState &service = state(request.service);
    refreshGroups(request.service, service);
    std::vector<CandidateDescription> descriptions;
    for (const auto &[region, group] : service.groups) {
        if (!mayServe(request, region)) {
            continue;
        }
        const RegionGroup *const groups[] = {&group};
        const Ranking ranking = ranked(request, groups, limit, now);
        std::vector<const UpstreamTable::Pointer *> upstreams = ranking.inUse;
        upstreams.insert(upstreams.end(), ranking.avoided.begin(), ranking.avoided.end());
        upstreams.resize(std::min(upstreams.size(), limit));
        for (const Candidate &known : candidates(request, upstreams, now)) {
            const UpstreamTable::Pointer &upstream = *known.upstream;
            descriptions.push_back(
                {upstream, known.rank, known.load, known.wait, known.cost, known.warm, m_upstreams.avoided(*upstream, now), m_upstreams.quiet(*upstream, now)});
        }
    }
    return descriptions;
}

} // namespace trefoilstile::ingress
