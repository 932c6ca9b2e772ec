// Ranking of upstreams by key, and the choice among them by believed load.

#include "trefoilstile/ingress/placement.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::ingress
{

namespace
{

/// Point of a key in [0, 1) for the split over regions; independent of the ranking within a region.
double pointOf(std::uint64_t key)
{
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(base::mixBits(key ^ 0x5bd1e995c1a4f36bULL) >> 11U) * scale;
}

bool mayServe(const Route &route, const std::string &region)
{
    return route.homeRegions.empty() || std::find(route.homeRegions.begin(), route.homeRegions.end(), region) != route.homeRegions.end();
}

/// Least value of a function of the items, which must not be empty.
template<typename Items, typename Value>
auto leastOf(const Items &items, Value value)
{
    auto least = value(items.front());
    for (const auto &item : items) {
        least = std::min(least, value(item));
    }
    return least;
}

} // namespace

Placement::ServiceState &Placement::state(std::string_view service)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        ServiceState fresh;
        fresh.split = RegionSplit(m_options.split);
        fresh.spill = SpillLimit(m_options.spillShare);
        found = m_services.emplace(std::string(service), std::move(fresh)).first;
    }
    return found->second;
}

std::map<std::string, double, std::less<>> Placement::shares(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::map<std::string, double, std::less<>>() : found->second.split.shares();
}

void Placement::advance(const Configuration &configuration, base::TimePoint now)
{
    m_book.updateFailureLimits(now);
    for (const auto &described : configuration.services) {
        const std::string &name = described.first;
        RegionCapacities regions;
        for (const auto &[region, demand] : m_demand) {
            regions[region].demand = demand;
        }
        bool known = false;
        for (const UpstreamTable::Pointer &upstream : m_book.ofService(name)) {
            if (m_book.usable(*upstream) && !m_book.avoided(*upstream, now)) {
                regions[upstream->region].capacity += upstream->report.slots;
                known = true;
            }
        }
        ServiceState &serviceState = state(name);
        updateBias(name, serviceState, now);
        if (const auto own = regions.find(m_ownRegion); own != regions.end()) {
            own->second.demand /= 1 - serviceState.bias;
        }
        if (known) {
            serviceState.split.update(m_ownRegion, regions, serviceState.spill.inUse(now), now);
        }
        std::erase_if(serviceState.warmUp, [&](const auto &entry) {
            const auto &upstreams = m_book.ofService(name);
            return std::none_of(upstreams.begin(), upstreams.end(), [&](const UpstreamTable::Pointer &upstream) {
                return upstream.get() == entry.first;
            });
        });
    }
}

void Placement::updateBias(std::string_view service, ServiceState &serviceState, base::TimePoint now)
{
    struct Load {
        double load{};
        double slots{};
    };
    std::map<std::string_view, Load> loads;
    for (const UpstreamTable::Pointer &upstream : m_book.ofService(service)) {
        if (m_book.usable(*upstream) && !m_book.avoided(*upstream, now) && m_book.loadKnown(*upstream, now)) {
            Load &load = loads[upstream->region];
            load.load += m_book.load(*upstream, now);
            load.slots += std::max(1U, upstream->report.slots);
        }
    }
    const base::Duration elapsed = serviceState.biasedAt ? now - *serviceState.biasedAt : base::Duration::zero();
    serviceState.biasedAt = now;
    const auto own = loads.find(m_ownRegion);
    if (own == loads.end()) {
        return;
    }
    const double ownLoad = own->second.load / own->second.slots;
    bool elsewhereLess = false;
    for (const auto &[region, load] : loads) {
        elsewhereLess = elsewhereLess || load.load / load.slots + m_options.imbalance < ownLoad;
    }
    const double change = m_options.biasPerSecond * base::toSeconds(elapsed);
    if (ownLoad > m_options.pressedLoad && elsewhereLess) {
        serviceState.bias = std::min(m_options.mostBias, serviceState.bias + change);
    } else if (ownLoad < m_options.relaxedLoad) {
        serviceState.bias = std::max(0.0, serviceState.bias - change);
    }
}

bool Placement::admitsCold(ServiceState &service, const Upstream &upstream, const Configuration &configuration, base::TimePoint now)
{
    if (upstream.coldUntil <= now) {
        return true;
    }
    const auto description = configuration.services.find(upstream.report.service);
    if (description == configuration.services.end() || upstream.report.failureDomain != m_ownDomain) {
        return false;
    }
    const std::uint64_t own = base::mixBits(m_instanceHash ^ upstream.hash);
    const auto rank = std::count_if(m_others.begin(), m_others.end(), [&](std::uint64_t other) {
        return base::mixBits(other ^ upstream.hash) > own;
    });
    return service.warmUp[&upstream].tryTake(description->second.warmUpRequestsPerSecond, m_members, static_cast<std::size_t>(rank), now);
}

Placement::Candidate Placement::candidate(const PlacementRequest &request, const UpstreamTable::Pointer &upstream, std::size_t rank, base::TimePoint now) const
{
    Candidate result;
    result.upstream = &upstream;
    result.rank = rank;
    result.load = m_book.load(*upstream, now);
    result.slots = static_cast<double>(std::max(1U, upstream->report.slots));
    result.warm = upstream->warmKeys.contains(request.key, now);
    // The load varies around what is believed of it as arrivals do, with a variance equal to it. The expected part above the
    // slots is approximated by a smooth function that is exact far from the slots and near them.
    const double excess = result.load + 1 - result.slots;
    constexpr double spread = 0.64; // gives 0.4 standard deviations where the mean equals the slots
    const double waiting = 0.5 * (excess + std::sqrt(excess * excess + spread * result.load));
    const double service = upstream->serviceSeconds > 0 ? upstream->serviceSeconds : base::toSeconds(m_options.assumedServiceTime);
    result.wait = base::fromSeconds(waiting / result.slots * service);
    const double cold = rank == 0 || result.warm ? 0.0 : rank < m_options.coldChance.size() ? m_options.coldChance[rank] : 1.0;
    result.cost = result.wait + std::chrono::duration_cast<base::Duration>(cold * m_options.coldCost * request.route.latencyObjective);
    return result;
}

void Placement::refreshGroups(std::string_view service, ServiceState &serviceState)
{
    if (serviceState.groupsVersion == m_book.version()) {
        return;
    }
    serviceState.groupsVersion = m_book.version();
    serviceState.groups.clear();
    for (const UpstreamTable::Pointer &upstream : m_book.ofService(service)) {
        if (m_book.usable(*upstream)) {
            RegionGroup &group = serviceState.groups[upstream->region];
            group.hashes.push_back(upstream->hash);
            group.upstreams.push_back(upstream);
        }
    }
}

Placement::Ranking Placement::ranked(const PlacementRequest &request, std::span<const RegionGroup *const> groups, std::size_t most, base::TimePoint now) const
{
    std::vector<std::pair<std::uint64_t, const UpstreamTable::Pointer *>> weighted;
    for (const RegionGroup *group : groups) {
        for (std::size_t i = 0; i < group->hashes.size(); ++i) {
            weighted.emplace_back(base::mixBits(request.key ^ group->hashes[i]), &group->upstreams[i]);
        }
    }
    const std::size_t total = weighted.size();
    const auto kept = weighted.begin() + static_cast<std::ptrdiff_t>(std::min(most, total));
    std::partial_sort(weighted.begin(), kept, weighted.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    weighted.erase(kept, weighted.end());
    Ranking ranking;
    for (const auto &[weight, upstream] : weighted) {
        if (std::find(request.excluded.begin(), request.excluded.end(), upstream->get()) == request.excluded.end()) {
            const bool avoided = m_book.avoided(**upstream, now) && !m_book.trialDue(**upstream, now);
            (avoided ? ranking.avoided : ranking.inUse).push_back(upstream);
        }
    }
    const bool enough = ranking.inUse.size() >= m_options.leastConsidered || total <= most;
    return enough ? ranking : ranked(request, groups, total, now);
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

PlacementResult Placement::choose(const PlacementRequest &request, const Configuration &configuration, base::TimePoint now)
{
    PlacementResult result;
    ServiceState &service = state(request.service);
    refreshGroups(request.service, service);
    const std::string_view planned = service.split.regionOf(pointOf(request.key));
    std::vector<const RegionGroup *> here; // at most one
    std::vector<const RegionGroup *> elsewhere;
    for (const auto &[region, group] : service.groups) {
        if (mayServe(request.route, region)) {
            (region == planned ? here : elsewhere).push_back(&group);
        }
    }
    Ranking ranking = ranked(request, here, m_options.considered, now);
    if (ranking.inUse.empty()) {
        // Without an upstream in use in the planned region, all regions are one group. With all of them in doubt, any is better
        // than none.
        here.insert(here.end(), elsewhere.begin(), elsewhere.end());
        elsewhere.clear();
        ranking = ranked(request, here, m_options.considered, now);
        if (ranking.inUse.empty()) {
            ranking.inUse = std::move(ranking.avoided);
        }
    }
    if (ranking.inUse.empty()) {
        return result;
    }
    service.spill.requestPlaced(now);
    std::vector<Candidate> local = candidates(request, ranking.inUse, now);
    const auto cheaper = [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    };
    std::stable_sort(local.begin(), local.end(), cheaper);
    result.plannedRegion = planned;
    result.candidates = local.size();
    result.leastLoadPerSlot = leastOf(local, [](const Candidate &candidate) {
        return candidate.load / candidate.slots;
    });
    const auto take = [&](const Candidate &candidate, PlacementReason reason) {
        if (!admitsCold(service, **candidate.upstream, configuration, now)) {
            return false;
        }
        result.outcome = PlacementOutcome::Chosen;
        result.reason = reason;
        result.upstream = *candidate.upstream;
        result.load = candidate.load;
        result.wait = candidate.wait;
        return true;
    };
    const auto spillFrom = std::chrono::duration_cast<base::Duration>(m_options.spillWait * request.route.latencyObjective);
    if (local.front().cost > spillFrom) {
        const std::vector<Candidate> remote = candidates(request, ranked(request, elsewhere, m_options.considered, now).inUse, now);
        const auto best = std::min_element(remote.begin(), remote.end(), cheaper);
        const bool better = best != remote.end() && best->load + 1 <= best->slots && best->cost < local.front().cost;
        if (better && service.spill.tryTake(now) && take(*best, PlacementReason::Spill)) {
            return result;
        }
    }
    const double queue = std::max(m_options.leastQueuePerSlot, m_options.queuePerSlot - m_options.queueStep * request.route.priority);
    const auto affordable = std::chrono::duration_cast<base::Duration>(request.timeLeft * m_options.deadlineShare);
    for (const Candidate &candidate : local) {
        const bool cold = candidate.rank != 0 && !candidate.warm;
        const bool fits = candidate.load + 1 <= candidate.slots * (cold ? m_options.coldFill : 1 + queue);
        const PlacementReason reason = candidate.rank == 0 ? PlacementReason::First : candidate.warm ? PlacementReason::Warm : PlacementReason::Cold;
        if (fits && candidate.wait <= affordable && take(candidate, reason)) {
            return result;
        }
    }
    result.outcome = PlacementOutcome::NoRoom;
    result.retryAfter = std::max(m_options.leastRetryAfter, leastOf(local, [](const Candidate &candidate) {
        return candidate.wait;
    }));
    return result;
}

} // namespace trefoilstile::ingress
