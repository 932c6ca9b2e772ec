// Ranks the upstreams of a request by its key, and estimates the wait and the cost at each.

#include "trefoilstile/ingress/placement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::ingress
{

void Placement::refreshGroups(std::string_view service, ServiceState &serviceState)
{
    if (serviceState.groupsVersion == m_upstreams.version()) {
        return;
    }
    serviceState.groupsVersion = m_upstreams.version();
    serviceState.groups.clear();
    for (const UpstreamTable::Pointer &upstream : m_upstreams.ofService(service)) {
        if (m_upstreams.usable(*upstream)) {
            RegionGroup &group = serviceState.groups[upstream->region];
            group.hashes.push_back(upstream->hash);
            group.upstreams.push_back(upstream);
        }
    }
}

Placement::Ranking Placement::ranked(const PlacementRequest &request, std::span<const RegionGroup *const> groups, std::size_t limit, base::TimePoint now) const
{
    std::vector<std::pair<std::uint64_t, const UpstreamTable::Pointer *>> weighted;
    for (const RegionGroup *group : groups) {
        for (std::size_t i = 0; i < group->hashes.size(); ++i) {
            weighted.emplace_back(base::mixBits(request.key ^ group->hashes[i]), &group->upstreams[i]);
        }
    }
    const std::size_t total = weighted.size();
    const auto kept = weighted.begin() + static_cast<std::ptrdiff_t>(std::min(limit, total));
    std::partial_sort(weighted.begin(), kept, weighted.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    weighted.erase(kept, weighted.end());
    Ranking ranking;
    for (const auto &[weight, upstream] : weighted) {
        if (m_upstreams.quiet(**upstream, now)) {
            ranking.quietUntil = std::min(ranking.quietUntil, (*upstream)->quietUntil);
        } else if (std::find(request.excluded.begin(), request.excluded.end(), upstream->get()) == request.excluded.end()) {
            const bool avoided = m_upstreams.avoided(**upstream, now) && !m_upstreams.trialDue(**upstream, now);
            (avoided ? ranking.avoided : ranking.inUse).push_back(upstream);
        }
    }
    const bool sufficient = ranking.inUse.size() >= m_options.minimumCandidates || total <= limit;
    return sufficient ? ranking : ranked(request, groups, total, now);
}

std::vector<Placement::Candidate> Placement::candidates(
    const PlacementRequest &request, std::span<const UpstreamTable::Pointer *const> upstreams, base::TimePoint now) const
{
    std::vector<Candidate> result;
    result.reserve(upstreams.size());
    for (const UpstreamTable::Pointer *upstream : upstreams) {
        result.push_back(candidate(request, *upstream, result.size(), now));
    }
    return result;
}

Placement::RankedRegions Placement::rankRegions(
    const PlacementRequest &request, const ServiceState &service, std::string_view planned, base::TimePoint now) const
{
    RankedRegions result;
    std::vector<const RegionGroup *> plannedGroups; // at most one
    for (const auto &[region, group] : service.groups) {
        if (mayServe(request, region)) {
            (region == planned ? plannedGroups : result.others).push_back(&group);
        }
    }
    result.ranking = ranked(request, plannedGroups, m_options.candidateLimit, now);
    if (result.ranking.inUse.empty()) {
        // If the planned region has no upstream in use, all regions are treated as one group. If all upstreams are avoided, an
        // avoided one is better than none.
        plannedGroups.insert(plannedGroups.end(), result.others.begin(), result.others.end());
        result.others.clear();
        result.ranking = ranked(request, plannedGroups, m_options.candidateLimit, now);
        if (result.ranking.inUse.empty()) {
            result.ranking.inUse = std::move(result.ranking.avoided);
        }
    }
    return result;
}

Placement::Candidate Placement::candidate(const PlacementRequest &request, const UpstreamTable::Pointer &upstream, std::size_t rank, base::TimePoint now) const
{
    Candidate result;
    result.upstream = &upstream;
    result.rank = rank;
    result.load = m_upstreams.load(*upstream, now);
    result.slots = static_cast<double>(std::max(1U, upstream->report.slots));
    result.warm = upstream->warmKeys.contains(request.key, now);
    // The actual load varies around the estimate like Poisson arrivals, with a variance equal to the mean. The expected excess
    // over the slots is approximated by a smooth function that is exact far from the slots and at them.
    const double excess = result.load + 1 - result.slots;
    constexpr double spread = 0.64; // gives 0.4 standard deviations where the load equals the slots
    const double waiting = 0.5 * (excess + std::sqrt(excess * excess + spread * result.load));
    const double service = upstream->serviceSeconds > 0 ? upstream->serviceSeconds : base::toSeconds(m_options.assumedServiceTime);
    const double speed = m_upstreams.speedFactor(*upstream, now);
    result.wait = base::fromSeconds(waiting / result.slots * service * speed);
    const double cold = rank == 0 || result.warm ? 0.0 : rank < m_options.coldProbability.size() ? m_options.coldProbability[rank] : 1.0;
    const auto coldWork = std::chrono::duration_cast<base::Duration>(cold * m_options.coldCost * speed * request.route.latencyObjective);
    result.cost = result.wait + coldWork + base::fromSeconds(service * (speed - 1));
    return result;
}

} // namespace trefoilstile::ingress
